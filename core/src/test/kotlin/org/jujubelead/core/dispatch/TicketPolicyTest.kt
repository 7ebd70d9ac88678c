package org.jujubelead.core.dispatch

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.route.RequestKind
import org.jujubelead.core.route.Route
import org.jujubelead.core.route.WeightedService
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TicketPolicyTest {
    private val stream = RequestKind.Stream(resumable = true, maxEventGap = 120.milliseconds)
    private val now = Timestamp.ZERO + 10.seconds

    private fun ticket(
        kind: RequestKind = stream,
        timeout: Duration = 8.seconds,
        streamStarted: Boolean = false,
    ) = ticketFor(
        PendingRequest(
            route = Route(
                name = "r", host = "h", pathPrefix = "/", kind = kind, timeout = 8.seconds,
                objective = 400.milliseconds, priority = 2, services = listOf(WeightedService(ServiceId("s"), 1)),
                maxAttempts = 2, anonymous = true,
            ),
            priority = 2,
            arrivedAt = now,
            timeout = timeout,
            triedReplicas = emptySet(),
            streamStarted = streamStarted,
        ),
        now,
    )

    /** Guards against treating a request as on time although it starts too late to meet its objective. */
    @Test
    fun `a request is on time only while its processing still fits into the objective`() {
        expectThat(ticket().latestOnTimeStart).isLessThan(now + 400.milliseconds)
        expectThat(ticket().latestUsefulStart).isLessThan(now + 8.seconds)
    }

    /** Guards against refusing a retry immediately although most of its time is left. */
    @Test
    fun `a retried stream may wait for the end of an outage`() {
        expectThat(ticket(timeout = 5.seconds).retryUnlikely).isTrue()
        expectThat(ticket(timeout = 8.seconds).retryUnlikely).isFalse()
        expectThat(ticket(kind = RequestKind.AtMostOnce, timeout = 5.seconds).retryUnlikely).isFalse()
    }

    /** Guards against a started stream that waits behind new requests until its caller disconnects. */
    @Test
    fun `a started stream is assigned first, within the gap that its caller accepts`() {
        val begun = ticket(streamStarted = true)
        expectThat(begun.priority).isLessThan(0)
        expectThat(begun.latestOnTimeStart).isGreaterThan(now + 1.seconds)
        expectThat(begun.latestUsefulStart).isLessThanOrEqualTo(now + 2.seconds)
        expectThat(ticket(timeout = 500.milliseconds, streamStarted = true).latestUsefulStart)
            .isEqualTo(now + 500.milliseconds)
    }
}
