/**
 * Checker of promise P7 over a recorded history: an accepted revision is in force everywhere within the bound and is
 * never reverted, and an operator's change is accepted at most once and as reported.
 *
 * A process to which no path leads from the key-value service, directly or through other zones, cannot learn of a
 * revision. Time without a path does not count towards the bound.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time within which an accepted revision is in force everywhere. */
public val MAX_PROPAGATION_DELAY: Duration = 4.seconds

/** What an operator was told about a change. */
public sealed interface ReportedOutcome {
    public data class Accepted(val revision: Revision) : ReportedOutcome

    /** The change is certainly not accepted. */
    public data object Refused : ReportedOutcome

    public data object Unknown : ReportedOutcome
}

/** One event. Times are milliseconds on one clock. [process] names one life of a process. */
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

    public data class InForce(override val at: Long, val process: String, val revision: Revision) : SettingsEvent

    /** The process started. It has a path until [PathLost]. */
    public data class Started(override val at: Long, val process: String) : SettingsEvent

    public data class Stopped(override val at: Long, val process: String) : SettingsEvent

    public data class PathLost(override val at: Long, val process: String) : SettingsEvent

    public data class PathFound(override val at: Long, val process: String) : SettingsEvent

    /** The recording ended. */
    public data class Ended(override val at: Long) : SettingsEvent
}

/** A broken part of the promise. */
public sealed interface SettingsViolation {
    public data class AcceptedTwice(val operation: OperationId, val revisions: List<Revision>) : SettingsViolation

    public data class WrongReport(
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

    /** [revision] was not in force at [at], although there had been a path for the whole bound. */
    public data class Late(val process: String, val revision: Revision, val at: Long) : SettingsViolation
}

/** Checks [events], in the order of their times, and returns all violations. */
public fun checkSettingsHistory(
    events: List<SettingsEvent>,
    bound: Duration = MAX_PROPAGATION_DELAY,
): List<SettingsViolation> {
    val accepted = events.filterIsInstance<SettingsEvent.Accepted>()
    val processes = events.filterIsInstance<SettingsEvent.Started>().map { it.process }
    return checkOperations(accepted, events.filterIsInstance<SettingsEvent.Reported>()) +
        processes.flatMap { process -> checkProcess(process, events, accepted, bound) }
}

private fun checkOperations(
    accepted: List<SettingsEvent.Accepted>,
    reports: List<SettingsEvent.Reported>,
): List<SettingsViolation> {
    val revisions = accepted.groupBy({ it.operation }, { it.revision })
    val twice = revisions.filter { it.value.size > 1 }.map { SettingsViolation.AcceptedTwice(it.key, it.value) }
    val wrong = reports.filterNot { report ->
        when (val outcome = report.outcome) {
            is ReportedOutcome.Accepted -> outcome.revision in revisions[report.operation].orEmpty()
            ReportedOutcome.Refused -> report.operation !in revisions
            ReportedOutcome.Unknown -> true
        }
    }
    return twice + wrong.map {
        SettingsViolation.WrongReport(it.operation, it.outcome, revisions[it.operation]?.first())
    }
}

private fun checkProcess(
    process: String,
    events: List<SettingsEvent>,
    accepted: List<SettingsEvent.Accepted>,
    bound: Duration,
): List<SettingsViolation> {
    val inForce = events.filterIsInstance<SettingsEvent.InForce>().filter { it.process == process }
    val reverted = inForce.zipWithNext().filter { (before, after) -> after.revision <= before.revision }
        .map { (before, after) -> SettingsViolation.Reverted(process, before.revision, after.revision, after.at) }
    val known = accepted.mapTo(HashSet()) { it.revision }
    val invented = inForce.filter {
        it.revision !in known
    }.map { SettingsViolation.NeverAccepted(process, it.revision) }
    val paths = pathsOf(process, events)
    val late = accepted.mapNotNull { change ->
        val deadline = paths.map { maxOf(it.first, change.at) to it.last }
            .firstOrNull { (from, until) -> (until - from).milliseconds >= bound }
            ?.let { it.first + bound.inWholeMilliseconds }
        val reached = inForce.firstOrNull { it.revision >= change.revision }?.at
        deadline?.takeIf {
            reached == null || reached > it
        }?.let { SettingsViolation.Late(process, change.revision, it) }
    }
    return reverted + invented + late
}

/** Spans of time in which the process ran and had a path. */
private fun pathsOf(process: String, events: List<SettingsEvent>): List<LongRange> {
    val spans = ArrayList<LongRange>()
    var open: Long? = null
    events.forEach { event ->
        when (event) {
            is SettingsEvent.Started -> if (event.process == process) open = event.at
            is SettingsEvent.PathFound -> if (event.process == process) open = open ?: event.at
            is SettingsEvent.PathLost -> if (event.process == process) open = close(spans, open, event.at)
            is SettingsEvent.Stopped -> if (event.process == process) open = close(spans, open, event.at)
            is SettingsEvent.Ended -> open = close(spans, open, event.at)
            else -> Unit
        }
    }
    return spans
}

private fun close(spans: MutableList<LongRange>, from: Long?, until: Long): Long? {
    if (from != null) spans += from..until
    return null
}
