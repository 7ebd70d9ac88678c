/**
 * Builds frames. Some carry the load and tick of this agent, so that reports cost no calls of their own: first and last
 * frames, and about one a second in between. On every frame they would take 92 KB/s of an entry's 6 KB/s for control at
 * full size.
 */
package org.jujubelead.runtime.agent

import org.jujubelead.core.ids.AttemptId
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Load
import org.jujubelead.protocol.RefusalReason
import java.util.concurrent.atomic.AtomicLong

private const val REPORT_INTERVAL_MILLIS = 1_000L

/** [load] and [tickMillis] are read when a frame is built. One factory serves one stream, or refusals outside any. */
public class FrameFactory(private val load: () -> Load, private val tickMillis: () -> Long) {
    private val reportedAt = AtomicLong(Long.MIN_VALUE)

    public fun frame(attempt: AttemptId, sequence: Long, fill: Frame.Builder.() -> Unit): Frame {
        val frame = Frame.newBuilder().setAttemptId(attempt.value).setSequence(sequence).apply(fill)
        if (reportIsDue(frame)) frame.setLoad(load()).setTickMs(tickMillis())
        return frame.build()
    }

    /** A refusal outside any buffer. */
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
