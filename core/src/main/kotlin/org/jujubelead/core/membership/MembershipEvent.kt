/** Events that change an entry's view of the targets, from the platform's list and from its own traffic. */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp

/** How an attempt or a probe failed. */
public enum class FailureKind {
    /** A new connection was refused: the process is not running. */
    REFUSED,

    /**
     * Nothing arrived before the timeout on an open connection. A probe on a new connection then tells whether the
     * target or only the connection failed.
     */
    NO_RESPONSE,

    /** The agent reported that the target failed. */
    ERROR,
}

public sealed interface MembershipEvent {
    /**
     * The platform's list was read.
     *
     * @property requestedAt when the read was sent. A list requested earlier than the last applied one is ignored.
     */
    public data class ListRead(val records: List<InstanceRecord>, val requestedAt: Timestamp) : MembershipEvent

    /**
     * The set of zones that drain for a maintenance window changed in the settings.
     *
     * @property zones all zones that are draining now.
     */
    public data class ZonesDraining(val zones: Set<ZoneId>) : MembershipEvent

    /** An event that concerns one target. */
    public sealed interface OfTarget : MembershipEvent {
        public val target: TargetKey
    }

    /** An attempt was answered. */
    public data class AttemptSucceeded(override val target: TargetKey) : OfTarget

    /** An attempt failed because of the target or the path to it. Refusals because of overload do not count. */
    public data class AttemptFailed(override val target: TargetKey, val kind: FailureKind) : OfTarget

    /**
     * The agent refused with reason `draining`.
     *
     * @property tickMillis time of the refusal on the agent's clock.
     */
    public data class AgentDraining(override val target: TargetKey, val tickMillis: Long) : OfTarget

    /** A probe was sent. The next probe is due after the probe interval. */
    public data class ProbeStarted(override val target: TargetKey) : OfTarget

    /**
     * The agent answered a probe on a new connection.
     *
     * @property draining whether the agent reports that it is draining.
     * @property tickMillis time of the answer on the agent's clock; orders the answer relative to [AgentDraining].
     */
    public data class ProbeSucceeded(
        override val target: TargetKey,
        val draining: Boolean,
        val tickMillis: Long,
    ) : OfTarget

    /** A probe on a new connection failed. */
    public data class ProbeFailed(override val target: TargetKey, val kind: FailureKind) : OfTarget

    /** A load report arrived, so the agent is alive. The load itself is kept in the load table. */
    public data class LoadReported(override val target: TargetKey) : OfTarget
}
