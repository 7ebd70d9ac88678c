/**
 * Checks guarantee P7 on a recorded history: an accepted revision becomes active in every process within the maximum
 * propagation delay and is never reverted, and an operator's change is accepted at most once, as reported.
 *
 * A process that is disconnected from the key-value service, directly and through other zones, cannot receive a
 * revision. The delay is therefore measured only over connected periods.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Maximum time until an accepted revision is active in all processes. */
public val MAX_PROPAGATION_DELAY: Duration = 4.seconds

/** Outcome of a change as reported to the operator. */
public sealed interface ReportedOutcome {
    public data class Accepted(val revision: Revision) : ReportedOutcome

    /** The change was definitely not accepted. */
    public data object Refused : ReportedOutcome

    public data object Unknown : ReportedOutcome
}

/** An event of the history. Times are in milliseconds on a common clock. A restarted process has a new name. */
public sealed interface SettingsEvent {
    public val at: Long

    /** The root record of [revision] was written. */
    public data class Accepted(
        override val at: Long,
        val revision: Revision,
        val operation: OperationId,
    ) : SettingsEvent

    public data class Reported(
        override val at: Long,
        val operation: OperationId,
        val outcome: ReportedOutcome,
    ) : SettingsEvent

    public data class Activated(override val at: Long, val process: String, val revision: Revision) : SettingsEvent

    /** The process started. It is connected until [Disconnected]. */
    public data class Started(override val at: Long, val process: String) : SettingsEvent

    public data class Stopped(override val at: Long, val process: String) : SettingsEvent

    public data class Disconnected(override val at: Long, val process: String) : SettingsEvent

    public data class Reconnected(override val at: Long, val process: String) : SettingsEvent

    public data class RecordingEnded(override val at: Long) : SettingsEvent
}

/** A violation of the guarantee. */
public sealed interface SettingsViolation {
    public data class AcceptedTwice(val operation: OperationId, val revisions: List<Revision>) : SettingsViolation

    public data class Misreported(
        val operation: OperationId,
        val outcome: ReportedOutcome,
        val accepted: Revision?,
    ) : SettingsViolation

    public data class Reverted(
        val process: String,
        val from: Revision,
        val to: Revision,
        val at: Long,
    ) : SettingsViolation

    public data class NeverAccepted(val process: String, val revision: Revision) : SettingsViolation

    /** [revision] was not active at [at], although the process was connected for the maximum propagation delay. */
    public data class Late(val process: String, val revision: Revision, val at: Long) : SettingsViolation
}

/** Returns all violations in [events], which must be sorted by time. */
public fun checkSettingsHistory(
    events: List<SettingsEvent>,
    maxDelay: Duration = MAX_PROPAGATION_DELAY,
): List<SettingsViolation> {
    val accepted = events.filterIsInstance<SettingsEvent.Accepted>()
    val processes = events.filterIsInstance<SettingsEvent.Started>().map { it.process }
    return checkOperations(accepted, events.filterIsInstance<SettingsEvent.Reported>()) +
        processes.flatMap { process -> checkProcess(process, events, accepted, maxDelay) }
}

private fun checkOperations(
    accepted: List<SettingsEvent.Accepted>,
    reports: List<SettingsEvent.Reported>,
): List<SettingsViolation> {
    val revisions = accepted.groupBy({ it.operation }, { it.revision })
    val twice = revisions.filter { it.value.size > 1 }.map { SettingsViolation.AcceptedTwice(it.key, it.value) }
    val misreported = reports.filterNot { report ->
        when (val outcome = report.outcome) {
            is ReportedOutcome.Accepted -> outcome.revision in revisions[report.operation].orEmpty()
            ReportedOutcome.Refused -> report.operation !in revisions
            ReportedOutcome.Unknown -> true
        }
    }
    return twice + misreported.map {
        SettingsViolation.Misreported(it.operation, it.outcome, revisions[it.operation]?.first())
    }
}

private fun checkProcess(
    process: String,
    events: List<SettingsEvent>,
    accepted: List<SettingsEvent.Accepted>,
    maxDelay: Duration,
): List<SettingsViolation> {
    val activations = events.filterIsInstance<SettingsEvent.Activated>().filter { it.process == process }
    val reverted = activations.zipWithNext().filter { (before, after) -> after.revision <= before.revision }
        .map { (before, after) -> SettingsViolation.Reverted(process, before.revision, after.revision, after.at) }
    val acceptedRevisions = accepted.mapTo(HashSet()) { it.revision }
    val neverAccepted = activations.filter {
        it.revision !in acceptedRevisions
    }.map { SettingsViolation.NeverAccepted(process, it.revision) }
    val periods = connectedPeriods(process, events)
    val late = accepted.mapNotNull { change ->
        val deadline = periods.map { maxOf(it.first, change.at) to it.last }
            .firstOrNull { (from, until) -> (until - from).milliseconds >= maxDelay }
            ?.let { it.first + maxDelay.inWholeMilliseconds }
        val activeSince = activations.firstOrNull { it.revision >= change.revision }?.at
        deadline?.takeIf {
            activeSince == null || activeSince > it
        }?.let { SettingsViolation.Late(process, change.revision, it) }
    }
    return reverted + neverAccepted + late
}

/** Returns the periods in which the process was running and connected. */
private fun connectedPeriods(process: String, events: List<SettingsEvent>): List<LongRange> {
    val periods = ArrayList<LongRange>()
    var start: Long? = null
    events.forEach { event ->
        when (event) {
            is SettingsEvent.Started -> if (event.process == process) start = event.at
            is SettingsEvent.Reconnected -> if (event.process == process) start = start ?: event.at
            is SettingsEvent.Disconnected -> if (event.process == process) start = endPeriod(periods, start, event.at)
            is SettingsEvent.Stopped -> if (event.process == process) start = endPeriod(periods, start, event.at)
            is SettingsEvent.RecordingEnded -> start = endPeriod(periods, start, event.at)
            else -> Unit
        }
    }
    return periods
}

private fun endPeriod(periods: MutableList<LongRange>, from: Long?, until: Long): Long? {
    if (from != null) periods += from..until
    return null
}
