/**
 * Compact forms of the large parts of messages between agents: expert maps and counts of choices.
 *
 * A coordinator sends each map to all ranks and gets counts from all of them over the link of a small instance. As JSON
 * numbers both took most of that link in a group of 63 ranks, and a change of the map took a second for its way alone.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.placement.ExpertPlacement
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.Base64

private const val MOST_BYTE = 0xff

/** A map as text: for each set and rank the number of experts, and the experts with two bytes each. */
internal fun encodeMap(map: GroupMap): String {
    val out = ByteArrayOutputStream()
    fun short(value: Int) {
        out.write(value ushr Byte.SIZE_BITS)
        out.write(value)
    }
    short(map.size)
    for (set in map) {
        short(set.ranks.size)
        for (experts in set.ranks) {
            short(experts.size)
            experts.forEach(::short)
        }
    }
    return Base64.getEncoder().encodeToString(out.toByteArray())
}

/** Reads what [encodeMap] wrote. Throws [IllegalArgumentException] or a buffer exception on anything else. */
internal fun decodeMap(text: String): GroupMap {
    val bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text))
    val short = { bytes.short.toInt() and 0xffff }
    return List(short()) {
        ExpertPlacement(List(short()) { List(short()) { short() } })
    }
}

/** Counts with one byte each, in units of [unit]: what matters is the share that each expert has. */
internal class CompactCounts(val unit: Double, val text: String) {
    fun counts(): List<Int> = Base64.getDecoder().decode(text).map { ((it.toInt() and MOST_BYTE) * unit).toInt() }

    companion object {
        fun of(counts: List<Int>): CompactCounts {
            val unit = ((counts.maxOrNull() ?: 0).toDouble() / MOST_BYTE).coerceAtLeast(1.0)
            val bytes = ByteArray(counts.size) { Math.round(counts[it] / unit).toInt().coerceIn(0, MOST_BYTE).toByte() }
            return CompactCounts(unit, Base64.getEncoder().encodeToString(bytes))
        }
    }
}
