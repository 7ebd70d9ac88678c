package org.jujubelead.gateway.peers

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LoadReportTest {
    /** Guards against loads that change in encoding and decoding. */
    @Test
    fun `a report is decoded as it was encoded`() {
        val report = LoadReport(sender = 7, sequence = 3, loads = mapOf(1 to 2, -5 to 300))
        val read = checkNotNull(LoadReport.decode(report.encode()))
        expectThat(read.sender to read.sequence).isEqualTo(7L to 3)
        expectThat(read.loads).isEqualTo(mapOf(1 to 2, -5 to 255))
    }

    /** Guards against decoding truncated or foreign datagrams. */
    @Test
    fun `a datagram that is not a complete report is ignored`() {
        val bytes = LoadReport(1, 1, mapOf(1 to 1)).encode()
        expectThat(LoadReport.decode(bytes.copy(0, bytes.readableBytes() - 1))).isNull()
        expectThat(LoadReport.decode(Unpooled.copiedBuffer("hello", Charsets.UTF_8))).isNull()
    }
}
