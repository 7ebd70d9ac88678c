/**
 * Compact encodings of the large parts of messages between agents: expert maps, their changes, and choice counts.
 *
 * A coordinator sends each map to all ranks and receives counts from all of them over the link of a small instance. As
 * JSON numbers, both took most of that link in a group of 63 ranks, and transferring a change of the map alone took a
 * second. Numbers are varints with seven bits per byte; most ranks and experts need one or two bytes.
 */
package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.GroupMap
import org.jujubelead.core.placement.ExpertPlacement
import java.io.ByteArrayOutputStream
import java.util.Base64

private const val MAX_BYTE = 0xff
private const val PAYLOAD_MASK = 0x7f
private const val CONTINUATION_BIT = 0x80
private const val PAYLOAD_BITS = 7
private const val SIGN_SHIFT = 63

/** Writes numbers as varints. */
internal class VarintWriter {
    private val out = ByteArrayOutputStream()

    fun number(value: Int): Unit = unsigned(value.toLong())

    /** Writes a number that may be negative. */
    fun signed(value: Long): Unit = unsigned((value shl 1) xor (value shr SIGN_SHIFT))

    fun optional(value: Long?) {
        number(if (value == null) 0 else 1)
        if (value != null) signed(value)
    }

    private fun unsigned(value: Long) {
        var rest = value
        while (rest and PAYLOAD_MASK.toLong().inv() != 0L) {
            out.write((rest.toInt() and PAYLOAD_MASK) or CONTINUATION_BIT)
            rest = rest ushr PAYLOAD_BITS
        }
        out.write(rest.toInt())
    }

    fun numbers(values: List<Int>) {
        number(values.size)
        values.forEach(::number)
    }

    fun text(): String = Base64.getEncoder().encodeToString(out.toByteArray())
}

/** Reads what a [VarintWriter] wrote. Its functions throw [IllegalArgumentException] at the end of the text. */
internal class VarintReader(text: String) {
    private val bytes = Base64.getDecoder().decode(text)
    private var next = 0

    fun number(): Int = unsigned().toInt()

    fun signed(): Long = unsigned().let { (it ushr 1) xor -(it and 1) }

    fun optional(): Long? = if (number() == 0) null else signed()

    private fun unsigned(): Long {
        var value = 0L
        var shift = 0
        while (true) {
            require(next < bytes.size && shift < Long.SIZE_BITS) { "malformed varint" }
            val byte = bytes[next++].toInt()
            value = value or ((byte and PAYLOAD_MASK).toLong() shl shift)
            if (byte and CONTINUATION_BIT == 0) return value
            shift += PAYLOAD_BITS
        }
    }

    fun numbers(): List<Int> = List(number()) { number() }
}

/** Encodes a complete map as Base64 text. */
internal fun encodeMap(map: GroupMap): String = VarintWriter().apply {
    number(map.size)
    for (set in map) {
        number(set.ranks.size)
        set.ranks.forEach(::numbers)
    }
}.text()

/** Decodes the result of [encodeMap]. Throws [IllegalArgumentException] on any other text. */
internal fun decodeMap(text: String): GroupMap {
    val from = VarintReader(text)
    return List(from.number()) { ExpertPlacement(List(from.number()) { from.numbers() }) }
}

/**
 * Encodes the difference between [base] and [map]: for each set, the ranks that change and the experts that they drop
 * and load.
 */
internal fun encodeChanges(base: GroupMap, map: GroupMap): String = VarintWriter().apply {
    for ((before, after) in base zip map) {
        val changed = after.ranks.indices.filter { before.ranks[it] != after.ranks[it] }
        number(changed.size)
        for (r in changed) {
            number(r)
            numbers(before.ranks[r] - after.ranks[r].toSet())
            numbers(after.ranks[r] - before.ranks[r].toSet())
        }
    }
}.text()

/**
 * Applies the changes in [text] to [base]. Throws [IllegalArgumentException] if [text] was not written by
 * [encodeChanges].
 */
internal fun applyChanges(base: GroupMap, text: String): GroupMap {
    val from = VarintReader(text)
    return base.map { before ->
        val ranks = before.ranks.toMutableList()
        repeat(from.number()) {
            val r = from.number()
            require(r < ranks.size) { "rank $r is out of range" }
            val dropped = from.numbers().toSet()
            ranks[r] = (ranks[r] - dropped + from.numbers()).sorted()
        }
        ExpertPlacement(ranks)
    }
}

/**
 * Counts of one byte each, in multiples of [unit]. The precision is enough, as only the share of each expert matters.
 */
internal class CompactCounts(val unit: Double, val text: String) {
    fun counts(): List<Int> = Base64.getDecoder().decode(text).map { ((it.toInt() and MAX_BYTE) * unit).toInt() }

    companion object {
        fun of(counts: List<Int>): CompactCounts {
            val unit = ((counts.maxOrNull() ?: 0).toDouble() / MAX_BYTE).coerceAtLeast(1.0)
            val bytes = ByteArray(counts.size) { Math.round(counts[it] / unit).toInt().coerceIn(0, MAX_BYTE).toByte() }
            return CompactCounts(unit, Base64.getEncoder().encodeToString(bytes))
        }
    }
}
