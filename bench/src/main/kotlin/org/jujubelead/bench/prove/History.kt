/** What a run of real processes recorded. It is written as JSON, so that a violation can be checked again. */
package org.jujubelead.bench.prove

import kotlinx.serialization.Serializable

/** What a caller sent. */
@Serializable
public enum class CallKind { CHAT_STREAM, CHAT_WHOLE, GET, POST, KEYED_POST }

/**
 * One call and its answer.
 *
 * @property subject unique text in the prompt or body; repeats of a keyed call share it.
 * @property status HTTP status; 0 when no answer came.
 * @property complete true when the answer ended as the protocol says a whole answer ends.
 * @property text answer text of a model, or echoed body of a service.
 * @property connected false when the connection was refused.
 */
@Serializable
public data class CallRecord(
    val subject: String,
    val kind: CallKind,
    val entry: String,
    val startMillis: Long,
    val endMillis: Long,
    val seed: Long = 0,
    val maxTokens: Int = 0,
    val status: Int = 0,
    val complete: Boolean = false,
    val text: String = "",
    val frames: List<String> = emptyList(),
    val connected: Boolean = true,
    val outcome: String? = null,
    val code: String? = null,
    val requestId: String? = null,
    val error: String? = null,
) {
    /** True when the answer says that the request did not run. */
    val notRun: Boolean get() = outcome == "not-run"
}

/** One execution that a target recorded. [target] is the agent's instance. */
@Serializable
public data class Execution(
    val target: String,
    val subject: String,
    val idempotent: Boolean,
    val atMillis: Long,
    val key: String? = null,
    val attempt: String? = null,
)

/** An injected fault, for the reader of a trace. */
@Serializable
public data class FaultRecord(val atMillis: Long, val what: String)

/** How a planned stop was started. */
@Serializable
public enum class StopMethod { SIGTERM, LIST, WINDOW }

/**
 * One planned stop.
 *
 * @property returnedMillis when a new process took the place; no bound on new work holds after it.
 * @property exitCode null when the process did not stop in time, or was not meant to.
 */
@Serializable
public data class StopRecord(
    val instance: String,
    val role: String,
    val method: StopMethod,
    val atMillis: Long,
    val returnedMillis: Long = Long.MAX_VALUE,
    val exitCode: Int? = null,
    val mustExit: Boolean = true,
)

/** Revision that a process reported. [life] is its process id. */
@Serializable
public data class RevisionRecord(val instance: String, val life: Long, val atMillis: Long, val revision: Long)

/** An accepted change: the operator's field, its value, and the revision. */
@Serializable
public data class AcceptedRecord(val revision: Long, val atMillis: Long, val field: String, val value: String)

/** Time in which a process could not learn of a change; [instance] is `*` for all. */
@Serializable
public data class Exemption(val instance: String, val fromMillis: Long, val untilMillis: Long)

/** Everything recorded in one run. */
@Serializable
public data class RunHistory(
    val seed: Long,
    val calls: List<CallRecord> = emptyList(),
    val executions: List<Execution> = emptyList(),
    val faults: List<FaultRecord> = emptyList(),
    val stops: List<StopRecord> = emptyList(),
    val revisions: List<RevisionRecord> = emptyList(),
    val accepted: List<AcceptedRecord> = emptyList(),
    val finalValues: Map<String, String> = emptyMap(),
    val exemptions: List<Exemption> = emptyList(),
)
