/**
 * Builds frames. The first and the last frame of a stream, and about one per second in between, also carry the load and
 * the tick of this agent, which saves separate report calls. Reports on every frame would use 92 KB/s per entry at full
 * scale, while the budget of an entry for control traffic is 6 KB/s.
 */
package org.jujubelead.runtime.agent

import org.jujubelead.core.ids.AttemptId
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Load
import org.jujubelead.protocol.RefusalReason
import java.util.concurrent.atomic.AtomicLong

private const val REPORT_INTERVAL_MILLIS = 1_000L

/**
 * [load] and [tickMillis] are evaluated when a frame is built. Each stream has its own factory; refusals that do not
 * belong to a stream share one.
 */
public class FrameFactory(private val load: () -> Load, private val tickMillis: () -> Long) {
    private val reportedAt = AtomicLong(Long.MIN_VALUE)

    public fun frame(attempt: AttemptId, sequence: Long, fill: Frame.Builder.() -> Unit): Frame {
        val frame = Frame.newBuilder().setAttemptId(attempt.value).setSequence(sequence).apply(fill)
        if (reportIsDue(frame)) frame.setLoad(load()).setTickMs(tickMillis())
        return frame.build()
    }

    /** Builds a refusal that is not stored in a stream buffer. */
    public fun refusal(attempt: AttemptId, reason: RefusalReason, notRun: Boolean, detail: String): Frame =
        frame(attempt, 0) { refusalBuilder.setReason(reason).setNotRun(notRun).setDetail(detail) }

    private fun reportIsDue(frame: Frame.Builder): Boolean {
        val now = tickMillis()
        val last = reportedAt.get()
        val due = frame.sequence == 0L || frame.hasEnd() || frame.hasRefusal() ||
            last == Long.MIN_VALUE || now - last >= REPORT_INTERVAL_MILLIS
        if (due) reportedAt.set(now)
        return due
    }
}
