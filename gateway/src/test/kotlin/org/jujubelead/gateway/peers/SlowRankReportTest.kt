package org.jujubelead.gateway.peers

import io.netty.buffer.Unpooled
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.telemetry.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class SlowRankReportTest {
    private val slow = Endpoint("10.0.0.1", 80)
    private val sound = Endpoint("10.0.0.2", 80)
    private var changes = 0
    private val conditions = SlowRankTracker(EventLog()) { changes++ }

    private fun report(term: Long = 1, sequence: Int = 1, vararg paces: Pair<Endpoint, Double>) =
        SlowRankReport(service = 7, term, sequence, paces.associate { SlowRankReport.hash(it.first) to it.second })

    /** Guards against a pace that another gateway reads as something else. */
    @Test
    fun `a report is read as it was written`() {
        val written = report(term = 5, sequence = 9, slow to 3.5, sound to 1.25)
        expectThat(SlowRankReport.decode(written.encode())).isEqualTo(written)
    }

    /** Guards against a cut datagram that hides a slow rank, and against a load report that is taken for a group's. */
    @Test
    fun `what is not a whole report is ignored`() {
        val bytes = report(1, 1, slow to 3.5).encode()
        expectThat(SlowRankReport.decode(bytes.slice(0, bytes.readableBytes() - 1))).isNull()
        expectThat(SlowRankReport.decode(LoadReport(1, 1, mapOf(1 to 2)).encode())).isNull()
        expectThat(SlowRankReport.decode(Unpooled.EMPTY_BUFFER)).isNull()
    }

    /** Guards against a deposed coordinator, or a datagram that was overtaken, that names sound ranks as slow. */
    @Test
    fun `reports of earlier terms and overtaken ones are ignored`() {
        conditions.take(report(term = 2, sequence = 2), Timestamp.ZERO)
        conditions.take(report(2, 1, slow to 3.5), Timestamp.ZERO)
        conditions.take(report(1, 9, slow to 3.5), Timestamp.ZERO)
        expectThat(conditions.pace(slow)).isEqualTo(1.0)
        conditions.take(report(3, 1, slow to 3.5), Timestamp.ZERO)
        expectThat(conditions.pace(slow)).isEqualTo(3.5)
        expectThat(conditions.pace(sound)).isEqualTo(1.0)
        expectThat(changes).isEqualTo(1)
    }

    /** Guards against a rank that gets no requests any more after its coordinator is lost. */
    @Test
    fun `a report that is not repeated expires`() {
        conditions.take(report(1, 1, slow to 3.5), Timestamp.ZERO)
        conditions.expire(Timestamp.ZERO + 2.seconds)
        expectThat(conditions.pace(slow)).isEqualTo(3.5)
        conditions.expire(Timestamp.ZERO + 4.seconds)
        expectThat(conditions.pace(slow)).isEqualTo(1.0)
    }
}
