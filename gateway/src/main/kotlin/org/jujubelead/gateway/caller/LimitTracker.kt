/**
 * Keeps the request limits that replicas name, and logs them with the requests that this instance sends.
 *
 * Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.caller

import org.jujubelead.core.limit.ReplicaLimits
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.Replica
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param limits what is known of the limits; also used by the queues of services. */
internal class LimitTracker(private val log: EventLog, private val limits: ReplicaLimits) {
    private class Sent(var count: Int, var logAt: Timestamp)

    private val sent = HashMap<Incarnation, Sent>()

    /** Records that this instance sends a request to [replica]. */
    fun requestSent(replica: Replica) {
        sent[replica.incarnation]?.let { it.count++ }
    }

    /** Records a response of [replica], in which it names [limit], to a request that was sent at [sentAt]. */
    fun responded(replica: Replica, sentAt: Timestamp, limit: Double?) {
        val incarnation = replica.incarnation
        val now = ProcessClock.now()
        val changed = limits.responded(incarnation, limit, sentAt, now)
        if (limits.limitOf(replica, now) == null && !changed) return
        val requests = sent.getOrPut(incarnation) { Sent(0, now + LOG_INTERVAL) }
        if (changed || now >= requests.logAt) logLimit(replica, requests, now)
    }

    /** Forgets replicas that are not in [current]. */
    fun expire(current: List<Replica>) {
        limits.expire(current, ProcessClock.now())
        sent.keys.retainAll(current.mapTo(HashSet()) { it.incarnation })
    }

    private fun logLimit(replica: Replica, requests: Sent, now: Timestamp) {
        log.log(
            LogEvent.REPLICA_LIMIT,
            "service" to replica.service,
            "replica" to replica.id,
            "requestsPerSecond" to limits.limitOf(replica, now),
            "sent" to requests.count,
            "millis" to (now - (requests.logAt - LOG_INTERVAL)).inWholeMilliseconds,
        )
        requests.count = 0
        requests.logAt = now + LOG_INTERVAL
    }

    private companion object {
        val LOG_INTERVAL: Duration = 4.seconds
    }
}
