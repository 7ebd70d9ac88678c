/**
 * Units, ranges and defaults of all settings fields. Parser, effective values and the reference page use this table;
 * a test checks that it covers the schema.
 */
package org.jujubelead.settings

import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.protocol.MaintenanceWindow
import org.jujubelead.protocol.ModelSettings
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.ServiceSettings
import org.jujubelead.protocol.WorkspaceSettings

/** What may stand in a field. */
public sealed interface FieldRule {
    public val allowed: String

    /** Whole numbers of [unit]. */
    public data class Whole(val range: IntRange, val unit: String) : FieldRule {
        override val allowed: String get() = "a whole number from ${range.first} to ${range.last} ($unit)"
    }

    /** Numbers with a fraction. */
    public data class Fraction(val range: ClosedFloatingPointRange<Double>, val unit: String) : FieldRule {
        override val allowed: String get() = "a number from ${range.start} to ${range.endInclusive} ($unit)"
    }

    /** Text that matches [pattern] as a whole. Lists have this rule for each element. */
    public class Text(public val pattern: Regex, override val allowed: String) : FieldRule

    /** An RFC 3339 instant. */
    public data object Instant : FieldRule {
        override val allowed: String = "an RFC 3339 instant, such as 2027-03-01T22:00:00Z"
    }
}

/**
 * One field.
 *
 * @property default value where no node sets the field; null when the field has none.
 */
public class FieldSpec(
    public val name: String,
    public val rule: FieldRule,
    public val summary: String,
    public val default: Number? = null,
    public val required: Boolean = false,
)

/** Names of nodes become parts of storage paths, headers and metric labels. */
public val NODE_NAME: FieldRule.Text =
    FieldRule.Text(Regex("[a-z0-9][a-z0-9._-]{0,62}"), "1 to 63 of a-z, 0-9, '.', '_' and '-', first a letter or digit")

private const val DAY_S = 86_400
private const val MIB = 1 shl 20

private val overrideFields: List<FieldSpec> = listOf(
    whole("request_timeout_ms", 1..3_600_000, "ms", 30_000, "Time limit of a request without a deadline of its own."),
    whole("max_body_bytes", 1_024..64 * MIB, "bytes", MIB, "Largest request body."),
    whole("max_header_bytes", 1_024..262_144, "bytes", 16_384, "Largest request head."),
    whole("max_in_flight", 1..1_000_000, "requests", 1_000, "Requests of one workspace in progress at one entry."),
    fraction("share", 0.001..1_000.0, "weight", 1.0, "Weight of a workspace when capacity is short."),
    fraction("retry_budget", 0.0..0.1, "fraction", 0.1, "Retries allowed as a fraction of requests."),
    whole(
        "drain_lead_s",
        0..DAY_S,
        "s",
        60,
        "Time before a maintenance window at which the drain starts at the latest.",
    ),
    whole("drain_limit_s", 1..DAY_S, "s", 600, "Time limit of a drain."),
    whole("key_retention_s", 60..30 * DAY_S, "s", DAY_S, "How long an idempotency key is remembered."),
    fraction("skew_weight", 0.0..1.0, "weight", 0.5, "Weight of step-time skew against moved weights in placement."),
    whole("priority", 0..1_000, "priority", 0, "Priority passed to model engines; higher runs first."),
    whole("first_token_objective_ms", 1..600_000, "ms", 690, "Objective for the time to the first token."),
    whole("token_gap_objective_ms", 1..60_000, "ms", 47, "Objective for the time between tokens."),
    fraction("objective", 0.5..0.99999, "fraction", 0.95, "Share of requests that must meet their objective."),
)

private val nameList = FieldRule.Text(NODE_NAME.pattern, "a list of names")

/** The table, by name of the schema's message. */
public val fieldTable: Map<String, List<FieldSpec>> = mapOf(
    Overrides.getDescriptor().name to overrideFields,
    MaintenanceWindow.getDescriptor().name to listOf(
        FieldSpec("start", FieldRule.Instant, "Start of the window; no request is in progress then.", required = true),
        FieldSpec("end", FieldRule.Instant, "End of the window; the zone returns then.", required = true),
    ),
    WorkspaceSettings.getDescriptor().name to listOf(
        FieldSpec(
            "token_sha256",
            FieldRule.Text(Regex("[0-9a-f]{64}"), "a list of SHA-256 hashes, 64 digits 0-9 and a-f each"),
            "SHA-256 of each bearer token.",
        ),
        FieldSpec("models", nameList, "Models that the workspace may use."),
        FieldSpec("services", nameList, "Plain services that the workspace may use."),
    ),
    ServiceSettings.getDescriptor().name to listOf(
        FieldSpec(
            "path_prefix",
            FieldRule.Text(Regex("(/[A-Za-z0-9._~-]+)+"), "a path such as /booking, without a slash at the end"),
            "Path prefix of the service's requests; prefixes must not overlap.",
            required = true,
        ),
        FieldSpec(
            "idempotent_methods",
            FieldRule.Text(Regex("PUT|DELETE"), "a list of PUT and DELETE"),
            "Methods that may be repeated, besides GET, HEAD and OPTIONS.",
        ),
    ),
    ModelSettings.getDescriptor().name to listOf(
        FieldSpec("ranks", FieldRule.Whole(0..1_024, "ranks"), "Ranks of a model group.", 1),
        FieldSpec("experts", FieldRule.Whole(0..4_096, "experts"), "Experts of a layer.", 0),
        FieldSpec(
            "spare_slots",
            FieldRule.Whole(0..1_024, "slots"),
            "Slots for replicas of experts on each rank.",
            0,
        ),
    ),
)

/** Returns the table's line for a schema field; null for nodes. */
public fun specOf(field: FieldDescriptor): FieldSpec? =
    fieldTable[field.containingType.name]?.find { it.name == field.name }

private fun whole(name: String, range: IntRange, unit: String, default: Int, summary: String) =
    FieldSpec(name = name, rule = FieldRule.Whole(range, unit), summary = summary, default = default)

private fun fraction(
    name: String,
    range: ClosedFloatingPointRange<Double>,
    unit: String,
    default: Double,
    summary: String,
) = FieldSpec(name = name, rule = FieldRule.Fraction(range, unit), summary = summary, default = default)
