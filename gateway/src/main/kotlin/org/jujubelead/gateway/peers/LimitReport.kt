/**
 * Datagram with the request limits that a gateway has heard from replicas.
 *
 * Each datagram has all limits, so that it replaces any lost one. An empty list ends earlier limits.
 */
package org.jujubelead.gateway.peers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * @property sequence increases with each report of one run of the gateway process.
 * @property limits requests per second, by the hash of the replica.
 */
public class LimitReport(public val sender: Long, public val sequence: Int, public val limits: Map<Int, Double>) {
    public fun encode(): ByteBuf {
        val out = Unpooled.buffer(HEADER_BYTES + limits.size * ENTRY_BYTES)
        out.writeByte(FORMAT).writeLong(sender).writeInt(sequence).writeShort(limits.size)
        for ((hash, limit) in limits) out.writeInt(hash).writeFloat(limit.toFloat())
        return out
    }

    public companion object {
        /** First byte of the datagram; other reports start with a different one. */
        public const val FORMAT: Int = 4
        private const val HEADER_BYTES = 15
        private const val ENTRY_BYTES = 8

        /** Decodes a datagram; returns null if it is not a complete limit report. */
        public fun decode(bytes: ByteBuf): LimitReport? {
            if (bytes.readableBytes() < HEADER_BYTES || bytes.readByte().toInt() != FORMAT) return null
            val sender = bytes.readLong()
            val sequence = bytes.readInt()
            val size = bytes.readUnsignedShort()
            if (bytes.readableBytes() != size * ENTRY_BYTES) return null
            val limits = HashMap<Int, Double>(size * 2)
            repeat(size) { limits[bytes.readInt()] = bytes.readFloat().toDouble() }
            return LimitReport(sender, sequence, limits)
        }
    }
}
