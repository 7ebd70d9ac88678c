package org.jujubelead.core.routing

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.chat
import org.jujubelead.core.membership.key
import org.jujubelead.core.membership.record
import org.jujubelead.core.membership.seconds
import org.jujubelead.core.membership.toTarget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

class LoadTableTest {
    private val targets = List(6) { record(it).toTarget()!! }
    private val request = RoutingRequest(chat, longArrayOf(1, 2), workUnits = 2)
    private val table = LoadTable(ZoneId("z0"), seed = 1).apply { snapshot(chat, targets, seconds(0)) }

    private fun load(index: Int) = table.load(key(index))!!

    private fun othersAt(index: Int, at: Int) = load(
        index,
    ).outstanding(seconds(at), 0.0, reportDecaySeconds = Double.POSITIVE_INFINITY)

    /** Guards against counting the entry's own requests twice: by the entry and in the target's report. */
    @Test
    fun `own requests at the time of a report are subtracted from it`() {
        table.started(targets[0], request, seconds(1))
        table.started(targets[0], request, seconds(3))
        table.started(targets[0], request, seconds(4))
        table.reported(key(0), LoadReport(running = 5, waiting = 0, capacity = 16), madeAt = seconds(2))
        // Of the 5 reported requests, 1 was the entry's own at 2 s, so 4 are from others; 3 are its own now.
        expectThat(othersAt(0, 5)).isEqualTo(7.0)
    }

    /** Guards against reports that arrive out of order. */
    @Test
    fun `an older report does not replace a newer one`() {
        table.reported(key(0), LoadReport(5, 0, 16), madeAt = seconds(5))
        table.reported(key(0), LoadReport(9, 0, 16), madeAt = seconds(4))
        expectThat(load(0).report).isEqualTo(LoadReport(5, 0, 16))
    }

    /** Guards against relying on an outdated report when no new reports arrive. */
    @Test
    fun `the weight of a report decreases with its age`() {
        table.reported(key(0), LoadReport(10, 0, 16), madeAt = seconds(0))
        expectThat(load(0).outstanding(seconds(10), meanOtherRequests = 2.0, reportDecaySeconds = 0.3)).isLessThan(2.1)
    }

    /** Guards against counts that stay above zero after attempts ended, which would divert requests permanently. */
    @Test
    fun `counts return to zero`() {
        table.started(targets[0], request, seconds(1))
        table.started(targets[0], request, seconds(1))
        expectThat(load(0).pendingWorkUnits).isEqualTo(4)
        table.firstToken(key(0), request)
        table.finished(key(0), request, hadFirstToken = true, seconds(2))
        table.finished(key(0), request, hadFirstToken = false, seconds(2))
        expectThat(load(0).inFlight).isEqualTo(0)
        expectThat(load(0).pendingWorkUnits).isEqualTo(0)
    }

    @Test
    fun `a slow target gets a higher slowness`() {
        repeat(50) { i ->
            for (t in 0..5) {
                table.measured(
                    key(t),
                    seconds(
                        if (t ==
                            1
                        ) {
                            0.09
                        } else {
                            0.03
                        },
                    ) - seconds(0),
                ).also { i }
            }
        }
        expectThat(load(1).slowness).isGreaterThan(1.8)
        expectThat(load(0).slowness).isLessThan(1.0)
    }

    /** Guards against entries that all use the same few targets of a large set. */
    @Test
    fun `subsets are bounded and differ between entries`() {
        val many = List(300) { record(it, zone = "z0").toTarget()!! }
        val pools = (1L..2L).map { LoadTable(ZoneId("z0"), it).snapshot(chat, many, seconds(0)).pool }
        expectThat(pools).all { get { local }.hasSize(LoadTable.DEFAULT_SUBSET) }
        expectThat(pools[0].local.map { it.target }).isNotEqualTo(pools[1].local.map { it.target })
    }

    /** Guards against all entries taking the same free slots, and against an entry that gets none. */
    @Test
    fun `an entry may use its part of the free slots and at least its even share`() {
        expectThat(table.capacity(chat, entries = 4, seconds(0))).isNull()
        repeat(40) { table.started(targets[it % 6], request, seconds(0)) }
        for (i in 0..5) {
            val own = load(i).inFlight
            table.reported(key(i), LoadReport(running = own + 4, waiting = 0, capacity = 16), madeAt = seconds(1))
        }
        // Of 96 slots, other entries use 24 and this entry 40; it may use a quarter of the remaining 32.
        expectThat(table.capacity(chat, entries = 4, seconds(1))).isEqualTo(48)
        for (i in 0..5) {
            table.reported(
                key(i),
                LoadReport(running = 16, waiting = 20, capacity = 16),
                madeAt = seconds(2),
            )
        }
        expectThat(table.capacity(chat, entries = 4, seconds(2))).isEqualTo(24)
    }

    /** Guards against memory that grows with each replaced instance. */
    @Test
    fun `targets that left the list are removed after their last request`() {
        table.started(targets[0], request, seconds(1))
        table.retain(listOf(targets[1]))
        expectThat(table.load(key(0))).isNotNull().isA<TargetLoad>()
        table.finished(key(0), request, hadFirstToken = false, seconds(2))
        table.retain(listOf(targets[1]))
        expectThat(table.load(key(0))).isNull()
    }
}
