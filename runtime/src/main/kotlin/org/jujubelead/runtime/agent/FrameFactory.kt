/** Builds frames with the load and tick of this agent, so that load reports cost no calls of their own. */
package org.jujubelead.runtime.agent

import org.jujubelead.core.ids.AttemptId
import org.jujubelead.protocol.Frame
import org.jujubelead.protocol.Load
import org.jujubelead.protocol.RefusalReason

/** [load] and [tickMillis] are read when a frame is built. */
public class FrameFactory(private val load: () -> Load, private val tickMillis: () -> Long) {
    public fun frame(attempt: AttemptId, sequence: Long, fill: Frame.Builder.() -> Unit): Frame =
        Frame.newBuilder()
            .setAttemptId(attempt.value)
            .setSequence(sequence)
            .setLoad(load())
            .setTickMs(tickMillis())
            .apply(fill)
            .build()

    /** A refusal outside any buffer. */
    public fun refusal(attempt: AttemptId, reason: RefusalReason, notRun: Boolean, detail: String): Frame =
        frame(attempt, 0) { refusalBuilder.setReason(reason).setNotRun(notRun).setDetail(detail) }
}
