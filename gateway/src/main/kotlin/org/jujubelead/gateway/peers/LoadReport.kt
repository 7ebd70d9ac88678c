/**
 * The requests that one gateway has at replicas, as a datagram.
 *
 * A replica is named by a hash of its id; a clash only blurs two loads. A gateway reports all its loads in each
 * datagram, so that a lost one is made up for by the next.
 */
package org.jujubelead.gateway.peers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.core.replica.ReplicaId

/** @property sequence grows with each report of one life of a gateway. */
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

        /** The name of a replica in reports. */
        public fun hash(replica: ReplicaId): Int = replica.value.hashCode()

        /** Reads a datagram; null when it is not a whole report. */
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
