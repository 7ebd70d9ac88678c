/**
 * Bytes per second of load information at one entry at the target size, computed from the schema of the messages.
 *
 * Loads come with answers: on the first frame, on the end frame, and once a second for each target with open streams.
 * Targets of the subset without a stream are probed.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.membership

import kotlin.math.exp

internal class LoadInformation(
    private val entries: Int = 1_400,
    private val models: Int = 10,
    private val subset: Int = 16,
    private val probeSeconds: Double = 30.0,
) {
    private val requestsPerSecond = 34_000.0 / entries
    private val tokensPerSecond = 9_200_000.0 / entries
    private val answerSeconds = tokensPerSecond / requestsPerSecond * 0.047

    /** Targets that the entry draws from in its zone and in all others. */
    private val watched = models * subset * 2

    /** Targets with at least one open stream of this entry, with streams spread at random. */
    private val active = watched * (1 - exp(-requestsPerSecond * answerSeconds / watched))

    val onAnswers: Double = (2 * requestsPerSecond + active) * LOAD_BYTES
    val onEveryToken: Double = tokensPerSecond * LOAD_BYTES
    val probes: Double = (watched - active) / probeSeconds * PROBE_BYTES
    val reportsPerSecond: Double = 2 * requestsPerSecond + active
    val probesPerSecond: Double = (watched - active) / probeSeconds
    val decisionsPerSecond: Double = requestsPerSecond
    val total: Double get() = onAnswers + probes

    private companion object {
        /** `Load` with three numbers below 128 and its header, and `tick_ms` of a process some days old. */
        const val LOAD_BYTES = 2 + 3 * 2 + 1 + 5

        /**
         * `Hello` with an instance name of 20 and an incarnation of 16 characters, two HTTP/2 exchanges with compressed
         * headers, and TCP/IP headers of two packets with data and two acknowledgements.
         */
        const val PROBE_BYTES = 22 + (22 + 18 + 6 + 8 + 2 + 4) + 2 * (9 + 5 + 9 + 30) + 4 * 52
    }
}
