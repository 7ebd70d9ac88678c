/**
 * What the coordinator of a group tells all gateways of its ranks, as a datagram: which of them are slow.
 *
 * A rank is named by a hash of its replica's address; a clash only keeps requests from a sound rank for a while. Each
 * datagram names all slow ranks, so that a lost one is made up for by the next, and one without ranks says that all are
 * sound again.
 */
package org.jujubelead.gateway.peers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.core.replica.Endpoint

/**
 * @property service hash of the service that the group serves.
 * @property term of the coordinator; reports of earlier terms are ignored.
 * @property sequence grows with each report of a term.
 * @property paces time of the work of each slow rank relative to a sound one.
 */
public data class SlowRankReport(
    public val service: Int,
    public val term: Long,
    public val sequence: Int,
    public val paces: Map<Int, Double>,
) {
    /** True when this report was made after [other]. */
    public fun newerThan(other: SlowRankReport): Boolean =
        compareValuesBy(this, other, { it.term }, { it.sequence }) > 0

    public fun encode(): ByteBuf {
        val out = Unpooled.buffer(HEADER_BYTES + paces.size * ENTRY_BYTES)
        out.writeByte(FORMAT).writeInt(service).writeLong(term).writeInt(sequence).writeShort(paces.size)
        for ((hash, pace) in paces) out.writeInt(hash).writeFloat(pace.toFloat())
        return out
    }

    public companion object {
        /** First byte of a group report; load reports have another one. */
        public const val FORMAT: Int = 2
        private const val HEADER_BYTES = 19
        private const val ENTRY_BYTES = 8

        /** The name of a replica in group reports. */
        public fun hash(replica: Endpoint): Int = replica.toString().hashCode()

        /** Reads a datagram; null when it is not a whole report. */
        public fun decode(bytes: ByteBuf): SlowRankReport? {
            if (bytes.readableBytes() < HEADER_BYTES || bytes.readByte().toInt() != FORMAT) return null
            val service = bytes.readInt()
            val term = bytes.readLong()
            val sequence = bytes.readInt()
            val size = bytes.readUnsignedShort()
            if (bytes.readableBytes() != size * ENTRY_BYTES) return null
            val paces = HashMap<Int, Double>(size * 2)
            repeat(size) { paces[bytes.readInt()] = bytes.readFloat().toDouble() }
            return SlowRankReport(service, term, sequence, paces)
        }
    }
}
