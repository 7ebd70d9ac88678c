/** Input and output of the admission decision. */
package org.jujubelead.core.admission

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.time.Timestamp

/** A request for admission. [deadline] is the time by which its first token is due. */
public data class AdmissionRequest(val workspace: WorkspaceId, val deadline: Timestamp)

/** Why a request was refused. A refused request has not run and will not run. */
public enum class AdmissionRefusal {
    /** The request cannot be answered by its deadline. */
    DEADLINE,

    /** The workspace has reached its configured limit of requests in progress. */
    WORKSPACE_LIMIT,

    /** The queue of the workspace is full. */
    QUEUE_FULL,
}

public sealed interface AdmissionDecision {
    /** Send the request now. */
    public data object Admit : AdmissionDecision

    /** Answer `not-run`. The caller should not retry before [retryAt]. */
    public data class Refuse(val reason: AdmissionRefusal, val retryAt: Timestamp) : AdmissionDecision

    /** Queue the request until [AdmissionState.next] returns its workspace. Refuse it no later than [until]. */
    public data class Queue(val until: Timestamp) : AdmissionDecision
}
