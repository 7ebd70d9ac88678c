package org.jujubelead.gateway.peers

import io.netty.buffer.Unpooled
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.telemetry.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class SlowRankReportTest {
    private val service = ServiceId("s")
    private val group = SlowRankReport.hashOf(service, GroupId("g"))
    private val otherGroup = SlowRankReport.hashOf(service, GroupId("other"))
    private val slow = Endpoint("10.0.0.1", 80)
    private val healthy = Endpoint("10.0.0.2", 80)
    private var changes = 0
    private val tracker = SlowRankTracker(EventLog()) { changes++ }

    private fun report(term: Long = 1, sequence: Int = 1, vararg paces: Pair<Endpoint, Double>) =
        SlowRankReport(group, term, sequence, paces.associate { SlowRankReport.hash(it.first) to it.second })

    /** Guards against step times that change in encoding and decoding. */
    @Test
    fun `a report is decoded as it was encoded`() {
        val written = report(term = 5, sequence = 9, slow to 3.5, healthy to 1.25)
        expectThat(SlowRankReport.decode(written.encode())).isEqualTo(written)
    }

    /**
     * Guards against a truncated datagram that hides a slow rank, and against a load report decoded as a report of slow
     * ranks.
     */
    @Test
    fun `a datagram that is not a complete report is ignored`() {
        val bytes = report(1, 1, slow to 3.5).encode()
        expectThat(SlowRankReport.decode(bytes.slice(0, bytes.readableBytes() - 1))).isNull()
        expectThat(SlowRankReport.decode(LoadReport(1, 1, mapOf(1 to 2)).encode())).isNull()
        expectThat(SlowRankReport.decode(Unpooled.EMPTY_BUFFER)).isNull()
    }

    /** Guards against a deposed coordinator or a reordered datagram that marks healthy ranks as slow. */
    @Test
    fun `reports of earlier terms and reordered ones are ignored`() {
        tracker.onReport(report(term = 2, sequence = 2), Timestamp.ZERO)
        tracker.onReport(report(2, 1, slow to 3.5), Timestamp.ZERO)
        tracker.onReport(report(1, 9, slow to 3.5), Timestamp.ZERO)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(1.0)
        tracker.onReport(report(3, 1, slow to 3.5), Timestamp.ZERO)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(3.5)
        expectThat(tracker.relativeStepTime(healthy)).isEqualTo(1.0)
        expectThat(changes).isEqualTo(1)
    }

    /** Guards against the slow ranks of one group that are forgotten when the coordinator of another one reports. */
    @Test
    fun `each group of a service has a report of its own`() {
        tracker.onReport(report(term = 1, sequence = 1, slow to 3.5), Timestamp.ZERO)
        tracker.onReport(SlowRankReport(otherGroup, term = 9, sequence = 1, paces = emptyMap()), Timestamp.ZERO)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(3.5)
        tracker.onReport(report(term = 1, sequence = 2), Timestamp.ZERO)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(1.0)
    }

    /** Guards against a rank that receives no requests after its coordinator was lost. */
    @Test
    fun `a report that is not repeated expires`() {
        tracker.onReport(report(1, 1, slow to 3.5), Timestamp.ZERO)
        tracker.expire(Timestamp.ZERO + 2.seconds)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(3.5)
        tracker.expire(Timestamp.ZERO + 4.seconds)
        expectThat(tracker.relativeStepTime(slow)).isEqualTo(1.0)
    }
}
