package org.jujubelead.gateway.peers

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LimitReportTest {
    /** Guards against limits that change on their way, and against truncated or foreign datagrams. */
    @Test
    fun `a report is decoded as it was encoded and other datagrams are ignored`() {
        val report = LimitReport(sender = 7, sequence = 3, limits = mapOf(1 to 1.5, -5 to 0.25)).encode()
        expectThat(LimitReport.decode(report.copy(0, report.readableBytes() - 1))).isNull()
        expectThat(LimitReport.decode(Unpooled.copiedBuffer("hello", Charsets.UTF_8))).isNull()
        val read = checkNotNull(LimitReport.decode(report))
        expectThat(read.sender to read.sequence).isEqualTo(7L to 3)
        expectThat(read.limits).isEqualTo(mapOf(1 to 1.5, -5 to 0.25))
    }
}
