/**
 * Datagram with the in-flight requests of one gateway at each replica.
 *
 * A replica is identified by a hash of its id; a collision only makes two loads inaccurate. Each datagram has all loads
 * of the gateway, so that it replaces any lost one.
 */
package org.jujubelead.gateway.peers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.core.replica.ReplicaId

/** @property sequence increases with each report of one run of the gateway process. */
public class LoadReport(public val sender: Long, public val sequence: Int, public val loads: Map<Int, Int>) {
    public fun encode(): ByteBuf {
        val out = Unpooled.buffer(HEADER_BYTES + loads.size * ENTRY_BYTES)
        out.writeByte(FORMAT).writeLong(sender).writeInt(sequence).writeShort(loads.size)
        for ((hash, count) in loads) out.writeInt(hash).writeByte(count.coerceAtMost(MAX_COUNT))
        return out
    }

    public companion object {
        private const val FORMAT = 1
        private const val HEADER_BYTES = 15
        private const val ENTRY_BYTES = 5
        private const val MAX_COUNT = 255

        /** Returns the identifier of a replica in reports. */
        public fun hash(replica: ReplicaId): Int = replica.value.hashCode()

        /** Decodes a datagram; returns null if it is not a complete load report. */
        public fun decode(bytes: ByteBuf): LoadReport? {
            if (bytes.readableBytes() < HEADER_BYTES || bytes.readByte().toInt() != FORMAT) return null
            val sender = bytes.readLong()
            val sequence = bytes.readInt()
            val size = bytes.readUnsignedShort()
            if (bytes.readableBytes() != size * ENTRY_BYTES) return null
            val loads = HashMap<Int, Int>(size * 2)
            repeat(size) { loads[bytes.readInt()] = bytes.readUnsignedByte().toInt() }
            return LoadReport(sender, sequence, loads)
        }
    }
}
