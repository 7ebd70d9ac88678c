/**
 * Bandwidth of load information at one entry instance at the design size, computed from the schema of the messages.
 *
 * Load reports are sent with answers: on the first frame, on the end frame, and once per second for each target with
 * open streams. Targets of the subset without an open stream are probed.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.membership

import kotlin.math.exp

internal class LoadInformation(
    private val instances: Int = 1_400,
    private val models: Int = 10,
    private val subsetSize: Int = 16,
    private val probeIntervalSeconds: Double = 30.0,
) {
    private val requestsPerSecond = 34_000.0 / instances
    private val tokensPerSecond = 9_200_000.0 / instances
    private val meanAnswerSeconds = tokensPerSecond / requestsPerSecond * 0.047

    /** Number of targets that the instance selects from, in its own zone and in all other zones. */
    private val observedTargets = models * subsetSize * 2

    /** Expected number of targets with an open stream of this instance, if streams are distributed at random. */
    private val activeTargets = observedTargets * (1 - exp(-requestsPerSecond * meanAnswerSeconds / observedTargets))

    val answerBytesPerSecond: Double = (2 * requestsPerSecond + activeTargets) * LOAD_BYTES
    val tokenBytesPerSecond: Double = tokensPerSecond * LOAD_BYTES
    val probeBytesPerSecond: Double = (observedTargets - activeTargets) / probeIntervalSeconds * PROBE_BYTES
    val reportsPerSecond: Double = 2 * requestsPerSecond + activeTargets
    val probesPerSecond: Double = (observedTargets - activeTargets) / probeIntervalSeconds
    val decisionsPerSecond: Double = requestsPerSecond
    val totalBytesPerSecond: Double get() = answerBytesPerSecond + probeBytesPerSecond

    private companion object {
        /** Size of a `Load` with three numbers below 128, its header, and the `tick_ms` of a process some days old. */
        const val LOAD_BYTES = 2 + 3 * 2 + 1 + 5

        /**
         * Size of a `Hello` with an instance name of 20 and an incarnation of 16 characters, two HTTP/2 exchanges with
         * compressed headers, and the TCP/IP headers of two data packets and two acknowledgements.
         */
        const val PROBE_BYTES = 22 + (22 + 18 + 6 + 8 + 2 + 4) + 2 * (9 + 5 + 9 + 30) + 4 * 52
    }
}
