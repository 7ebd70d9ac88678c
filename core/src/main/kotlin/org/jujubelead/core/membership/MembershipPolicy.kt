/** Constants of the membership decisions. */
package org.jujubelead.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * When targets are ejected, for how long, and how often they are probed.
 *
 * @property ejectedFraction largest part of a target set that may be ejected. A half survives the loss of one of
 * three zones and still leaves a target in a set of two.
 * @property leastKept targets of a set that are never ejected, whatever the fraction.
 * @property failuresToEject failures in a row that eject, for failures other than a refused connection.
 * @property firstEjection time until the first probe; doubles with every ejection up to [longestEjection].
 * @property forgetAfter time without failure after which earlier ejections no longer count.
 * @property probeInterval time between probes of a target that does not answer or is draining, at least.
 * @property idleProbeInterval a target that was not heard from for so long is probed. At the target size, 5 s took
 * 9.7 KB/s of the 6 KB/s that all control may take.
 * @property drainProbeInterval a draining target is probed so often, to see whether its drain has ended.
 * @property forgetDrainAfter a drained incarnation is remembered for so long after it left the list, because a lagging
 * list can show it as live again.
 * @property holdLeavingFor an incarnation that the list showed as leaving stays so for this time after the last list
 * that said so, because a copy of the list that lags more can be read next.
 */
public data class MembershipPolicy(
    val ejectedFraction: Double = 0.5,
    val leastKept: Int = 1,
    val failuresToEject: Int = 3,
    val firstEjection: Duration = 1.seconds,
    val longestEjection: Duration = 30.seconds,
    val forgetAfter: Duration = 1.minutes,
    val probeInterval: Duration = 2.seconds,
    val idleProbeInterval: Duration = 30.seconds,
    val drainProbeInterval: Duration = 5.seconds,
    val forgetDrainAfter: Duration = 10.minutes,
    val holdLeavingFor: Duration = 30.seconds,
) {
    /** How many of [size] targets may be ejected at once. */
    public fun ejectionCap(size: Int): Int =
        minOf((size * ejectedFraction).toInt(), size - leastKept).coerceAtLeast(0)

    /** How long the ejection number [count], counted from 1, lasts. */
    public fun ejectionTime(count: Int): Duration =
        (firstEjection * (1 shl (count - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(longestEjection)

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
