/**
 * Datagram that tells all gateways which ranks of a group are slow. It is sent by the group's coordinator.
 *
 * A rank is identified by a hash of its replica's address; a collision only keeps requests away from a healthy rank for
 * a while. Each datagram lists all slow ranks, so that it replaces any lost one. An empty list means that no rank is
 * slow.
 */
package org.jujubelead.gateway.peers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint

/**
 * @property group hash of the group and its service, see [hashOf].
 * @property term term of the coordinator; reports of earlier terms are ignored.
 * @property sequence increases with each report of a term.
 * @property paces step time of each slow rank relative to a healthy one.
 */
public data class SlowRankReport(
    public val group: Int,
    public val term: Long,
    public val sequence: Int,
    public val paces: Map<Int, Double>,
) {
    /** True if this report was created after [other]. */
    public fun newerThan(other: SlowRankReport): Boolean =
        compareValuesBy(this, other, { it.term }, { it.sequence }) > 0

    public fun encode(): ByteBuf {
        val out = Unpooled.buffer(HEADER_BYTES + paces.size * ENTRY_BYTES)
        out.writeByte(FORMAT).writeInt(group).writeLong(term).writeInt(sequence).writeShort(paces.size)
        for ((hash, pace) in paces) out.writeInt(hash).writeFloat(pace.toFloat())
        return out
    }

    public companion object {
        /** First byte of the datagram; load reports start with a different one. */
        public const val FORMAT: Int = 2
        private const val HEADER_BYTES = 19
        private const val ENTRY_BYTES = 8

        /** Returns the identifier of a replica in reports. */
        public fun hash(replica: Endpoint): Int = replica.toString().hashCode()

        /** Returns the identifier of [group] of [service] in reports. */
        public fun hashOf(service: ServiceId, group: GroupId): Int = listOf(service.value, group.value).hashCode()

        /** Decodes a datagram; returns null if it is not a complete report of slow ranks. */
        public fun decode(bytes: ByteBuf): SlowRankReport? {
            if (bytes.readableBytes() < HEADER_BYTES || bytes.readByte().toInt() != FORMAT) return null
            val group = bytes.readInt()
            val term = bytes.readLong()
            val sequence = bytes.readInt()
            val size = bytes.readUnsignedShort()
            if (bytes.readableBytes() != size * ENTRY_BYTES) return null
            val paces = HashMap<Int, Double>(size * 2)
            repeat(size) { paces[bytes.readInt()] = bytes.readFloat().toDouble() }
            return SlowRankReport(group, term, sequence, paces)
        }
    }
}
