/**
 * Latest tick of each agent's own clock known to this entry.
 *
 * Each attempt carries a tick that was learnt before the attempt was created, so that an agent can refuse an attempt
 * that was
 * delayed on its way.
 */
package org.jujubelead.runtime.entry

import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.time.Timestamp
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Agents refuse ticks older than 10 s; a third of that leaves time for the dispatch itself. */
private val FRESH_LIMIT: Duration = 3.seconds

/** Thread-safe. */
public class TargetTicks(private val now: () -> Timestamp) {
    private class Entry(val tick: Long, val receivedAt: Timestamp)

    private val ticks = ConcurrentHashMap<TargetKey, Entry>()

    /** Keeps [tick] when it is higher than the known one. */
    public fun learn(target: TargetKey, tick: Long) {
        ticks.compute(target) { _, current ->
            if (current != null && current.tick >= tick) current else Entry(tick = tick, receivedAt = now())
        }
    }

    /** A tick that is young enough for a new attempt; null when the agent has to be asked first. */
    public fun fresh(target: TargetKey): Long? =
        ticks[target]?.takeIf { now() - it.receivedAt < FRESH_LIMIT }?.tick

    /** Forgets targets that are not in [known]. */
    public fun retain(known: Set<TargetKey>) {
        ticks.keys.removeIf { it !in known }
    }
}
