/**
 * Latest known tick of each agent's monotonic clock.
 *
 * Each attempt carries a tick that was obtained before the attempt was created, so that the agent can refuse an attempt
 * that was delayed in transit.
 */
package org.jujubelead.runtime.entry

import org.jujubelead.core.membership.TargetKey
import org.jujubelead.core.time.Timestamp
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Agents refuse ticks older than 10 s. A third of that leaves time for the dispatch. */
private val MAX_TICK_AGE: Duration = 3.seconds

/** Thread-safe. */
public class TargetTicks(private val now: () -> Timestamp) {
    private class Entry(val tick: Long, val receivedAt: Timestamp)

    private val ticks = ConcurrentHashMap<TargetKey, Entry>()

    /** Stores [tick] if it is higher than the known one. */
    public fun update(target: TargetKey, tick: Long) {
        ticks.compute(target) { _, current ->
            if (current != null && current.tick >= tick) current else Entry(tick = tick, receivedAt = now())
        }
    }

    /** Returns a tick that is recent enough for a new attempt; null if the agent has to be asked first. */
    public fun fresh(target: TargetKey): Long? =
        ticks[target]?.takeIf { now() - it.receivedAt < MAX_TICK_AGE }?.tick

    /** Removes the ticks of targets that are not in [known]. */
    public fun retain(known: Set<TargetKey>) {
        ticks.keys.removeIf { it !in known }
    }
}
