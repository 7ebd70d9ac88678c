/**
 * Work that is repeated on an event loop, whatever happens to one turn of it.
 *
 * A turn may end later than the call that begins it, for example with the answer to a request. One turn is in progress
 * at a time. A turn that throws has ended, and one that has not ended by its deadline is abandoned: what arrives for it
 * later is dropped. In each case the task schedules the next turn itself, so that no failure of the work can end the
 * repetition. All functions but [RepeatingTask.start] must be called on the event loop.
 */
package org.jujubelead.gateway.schedule

import io.netty.channel.EventLoop
import org.jujubelead.gateway.telemetry.DefectReporter
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * @param name name of the work in reports of defects.
 * @param maxTurnTime maximum time from the beginning of a turn to its end.
 * @param waitTime returns the time from the end of a turn to the next one.
 * @param work begins a turn, and ends it then or later.
 */
public class RepeatingTask(
    private val loop: EventLoop,
    private val name: String,
    private val maxTurnTime: Duration = DEFAULT_MAX_TURN_TIME,
    private val waitTime: () -> Duration,
    private val work: (Turn) -> Unit,
) {
    private var current: Turn? = null

    /** Begins the next turn or abandons the current one; null while the task is idle. */
    private var timer: Future<*>? = null
    private var requested = false
    private var expedited = false
    private var stopped = false

    /** One turn. Its functions do nothing once it has ended. */
    public inner class Turn internal constructor() {
        private val active: Boolean get() = current === this

        /** Ends this turn; the next one follows after the wait time. */
        public fun end() {
            if (active) endTurn(idle = false, minWait = Duration.ZERO)
        }

        /** Ends this turn; the next one follows once it is requested. */
        public fun endIdle() {
            if (active) endTurn(idle = true, minWait = Duration.ZERO)
        }

        /** Ends this turn and the task. */
        public fun stopTask() {
            if (active) stop()
        }

        /** Returns a callback that runs [handle] as a part of this turn. */
        public fun <T> step(handle: (T) -> Unit): (T) -> Unit = { if (active) run { handle(it) } }

        /** Returns a callback that runs [handle] as the last part of this turn. */
        public fun <T> lastStep(handle: (T) -> Unit): (T) -> Unit = step {
            handle(it)
            end()
        }

        internal fun run(part: () -> Unit) {
            if (!guarded(name, part) && active) endTurn(idle = false, MIN_WAIT_AFTER_FAILURE)
        }

        internal fun abandon() {
            if (!active) return
            DefectReporter.report(name, IllegalStateException("turn not ended within $maxTurnTime"))
            endTurn(idle = false, MIN_WAIT_AFTER_FAILURE)
        }
    }

    /** Begins the first turn after [delay]. */
    public fun start(delay: Duration = Duration.ZERO) {
        if (loop.inEventLoop()) scheduleTurn(delay) else loop.execute { scheduleTurn(delay) }
    }

    /** Begins a turn now if the task is idle; otherwise a turn follows the current one or the wait in any case. */
    public fun request() {
        if (stopped) return
        requested = true
        if (current == null && timer == null) beginTurn()
    }

    /** Begins a turn now instead of after the wait time, or right after the current one. */
    public fun expedite() {
        if (stopped) return
        expedited = true
        if (current != null) return
        timer?.cancel(false)
        beginTurn()
    }

    /** Ends the task; a current turn is dropped. */
    public fun stop() {
        stopped = true
        current = null
        timer?.cancel(false)
        timer = null
    }

    private fun beginTurn() {
        timer = null
        if (stopped) return
        requested = false
        expedited = false
        val turn = Turn()
        current = turn
        turn.run { work(turn) }
        if (current === turn) timer = schedule(maxTurnTime) { turn.abandon() }
    }

    private fun endTurn(idle: Boolean, minWait: Duration) {
        current = null
        timer?.cancel(false)
        timer = null
        if (idle && !requested && !expedited) return
        var wait = MIN_WAIT_AFTER_FAILURE
        guarded(name) { wait = if (expedited) Duration.ZERO else waitTime() }
        scheduleTurn(wait.coerceAtLeast(minWait))
    }

    private fun scheduleTurn(wait: Duration) {
        if (!stopped) timer = schedule(wait.coerceAtLeast(Duration.ZERO), ::beginTurn)
    }

    private fun schedule(wait: Duration, then: () -> Unit): Future<*> =
        loop.schedule(then, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private companion object {
        /** Several calls to the store that time out. */
        val DEFAULT_MAX_TURN_TIME: Duration = 10.seconds

        /** Bounds the rate of turns that fail at once. */
        val MIN_WAIT_AFTER_FAILURE: Duration = 50.milliseconds
    }
}

/**
 * Runs [task] every [millis] milliseconds after its last run, until the result is cancelled. If it throws, the failure
 * is reported under [name]. For work that ends with its call, for which it costs less than a [RepeatingTask].
 */
public fun EventLoop.scheduleRepeating(millis: Long, name: String, task: () -> Unit): Future<*> =
    scheduleWithFixedDelay({ guarded(name, task) }, millis, millis, TimeUnit.MILLISECONDS)

/** Runs [task] once after [delay]. If it throws, the failure is reported under [name]. */
public fun EventLoop.scheduleOnce(delay: Duration, name: String, task: () -> Unit): Future<*> =
    schedule({ guarded(name, task) }, delay.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)

/** Runs [task]. If it throws, the failure is reported under [name], and false is returned. */
public fun guarded(name: String, task: () -> Unit): Boolean = try {
    task()
    true
} catch (e: Throwable) {
    DefectReporter.report(name, e)
    false
}
