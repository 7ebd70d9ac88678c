/** What an entry learns about targets, from the platform's list and from its own traffic. */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp

/** How an attempt or a probe failed. */
public enum class FailureKind {
    /** A new connection was refused: the process is gone. */
    REFUSED,

    /** Nothing arrived in time on an open connection. A probe on a new connection tells the path from the target. */
    NO_RESPONSE,

    /** The agent answered that the target failed. */
    ERROR,
}

/** One piece of evidence. */
public sealed interface MembershipEvent {
    /**
     * The platform's list was read.
     *
     * @property requestedAt when the read was sent. A list that was requested before the newest one applied is ignored.
     */
    public data class ListRead(val records: List<InstanceRecord>, val requestedAt: Timestamp) : MembershipEvent

    /**
     * The zones that drain for a maintenance window changed, by the settings in force.
     *
     * @property zones all zones that drain now.
     */
    public data class ZonesDraining(val zones: Set<ZoneId>) : MembershipEvent

    /** Evidence about one target. */
    public sealed interface OfTarget : MembershipEvent {
        public val target: TargetKey
    }

    /** An attempt was answered. */
    public data class AttemptSucceeded(override val target: TargetKey) : OfTarget

    /** An attempt failed in a way that says something about the target. Refusals for overload are not failures. */
    public data class AttemptFailed(override val target: TargetKey, val kind: FailureKind) : OfTarget

    /**
     * The agent refused with reason `draining`.
     *
     * @property tickMillis the agent's clock in the refusal.
     */
    public data class AgentDraining(override val target: TargetKey, val tickMillis: Long) : OfTarget

    /** A probe was sent; keeps the same probe from being due again until its interval has passed. */
    public data class ProbeStarted(override val target: TargetKey) : OfTarget

    /**
     * The agent answered a probe on a new connection.
     *
     * @property draining what the agent says of itself.
     * @property tickMillis the agent's clock in the answer; orders this answer against [AgentDraining].
     */
    public data class ProbeSucceeded(
        override val target: TargetKey,
        val draining: Boolean,
        val tickMillis: Long,
    ) : OfTarget

    /** A probe on a new connection failed. */
    public data class ProbeFailed(override val target: TargetKey, val kind: FailureKind) : OfTarget

    /** A load report arrived, which shows that the agent lives. The load itself is kept by the load table. */
    public data class LoadReported(override val target: TargetKey) : OfTarget
}
