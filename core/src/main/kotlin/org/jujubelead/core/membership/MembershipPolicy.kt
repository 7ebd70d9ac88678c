/** Configuration of outlier ejection and probing. */
package org.jujubelead.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * When targets are ejected, for how long, and how often they are probed.
 *
 * @property maxEjectedFraction maximum fraction of a target set that may be ejected. One half covers the loss of one
 * of three zones and still leaves one target in a set of two.
 * @property minCandidates number of targets of a set that are never ejected, regardless of the fraction.
 * @property failuresToEject number of consecutive failures after which a target is ejected. A refused connection ejects
 * it at once.
 * @property baseEjectionTime time until the first probe after an ejection; doubles with each ejection up to
 * [maxEjectionTime].
 * @property failureRetention time without a failure after which earlier ejections no longer count.
 * @property probeInterval minimum time between two probes of a target that does not answer or is draining.
 * @property idleProbeInterval a target is probed when it has sent nothing for this time. At the size that the system is
 * designed for, 5 s took 9.7 KB/s, more than the 6 KB/s allowed for all control traffic.
 * @property drainProbeInterval time between probes of a draining target, which check whether its drain has ended.
 * @property drainRetention time that the drain of an incarnation is remembered after it left the list, because a
 * lagging list can show the incarnation as live again.
 * @property leavingRetention time that an incarnation counts as leaving after the last list that showed it as leaving,
 * because the next read can return an older copy of the list.
 */
public data class MembershipPolicy(
    val maxEjectedFraction: Double = 0.5,
    val minCandidates: Int = 1,
    val failuresToEject: Int = 3,
    val baseEjectionTime: Duration = 1.seconds,
    val maxEjectionTime: Duration = 30.seconds,
    val failureRetention: Duration = 1.minutes,
    val probeInterval: Duration = 2.seconds,
    val idleProbeInterval: Duration = 30.seconds,
    val drainProbeInterval: Duration = 5.seconds,
    val drainRetention: Duration = 10.minutes,
    val leavingRetention: Duration = 30.seconds,
) {
    /** Maximum number of ejected targets in a set of [size]. */
    public fun maxEjected(size: Int): Int =
        minOf((size * maxEjectedFraction).toInt(), size - minCandidates).coerceAtLeast(0)

    /** Duration of the ejection with number [count], counted from 1. */
    public fun ejectionTime(count: Int): Duration =
        (baseEjectionTime * (1 shl (count - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(maxEjectionTime)

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
