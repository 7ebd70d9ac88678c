/**
 * Units, ranges and defaults of all settings fields, used by the parser, the effective values and the reference page.
 * A test checks that the table covers the schema.
 */
package org.jujubelead.settings

import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.protocol.MaintenanceWindow
import org.jujubelead.protocol.ModelSettings
import org.jujubelead.protocol.Overrides
import org.jujubelead.protocol.ServiceSettings
import org.jujubelead.protocol.WorkspaceSettings

/** Describes the valid values of a field. */
public sealed interface FieldRule {
    public val allowed: String

    /** Integers in [unit]. */
    public data class Integer(val range: IntRange, val unit: String) : FieldRule {
        override val allowed: String get() = "an integer from ${range.first} to ${range.last} ($unit)"
    }

    /** Decimal numbers in [unit]. */
    public data class Decimal(val range: ClosedFloatingPointRange<Double>, val unit: String) : FieldRule {
        override val allowed: String get() = "a number from ${range.start} to ${range.endInclusive} ($unit)"
    }

    /** Text that fully matches [pattern]. In a list, the rule applies to each element. */
    public class Text(public val pattern: Regex, override val allowed: String) : FieldRule

    /** An RFC 3339 instant. */
    public data object Instant : FieldRule {
        override val allowed: String = "an RFC 3339 instant, such as 2027-03-01T22:00:00Z"
    }
}

/**
 * Specification of a field.
 *
 * @property default value if no node sets the field; null if there is no default.
 */
public class FieldSpec(
    public val name: String,
    public val rule: FieldRule,
    public val summary: String,
    public val default: Number? = null,
    public val required: Boolean = false,
)

/** Node names are restricted because they are used in storage paths, headers and metric labels. */
public val NODE_NAME: FieldRule.Text =
    FieldRule.Text(
        Regex("[a-z0-9][a-z0-9._-]{0,62}"),
        "1 to 63 characters a-z, 0-9, '.', '_' and '-', starting with a letter or digit",
    )

private const val DAY_S = 86_400
private const val MIB = 1 shl 20

private val overrideFields: List<FieldSpec> = listOf(
    integer("request_timeout_ms", 1..3_600_000, "ms", 30_000, "Timeout of requests that carry no deadline."),
    integer("max_body_bytes", 1_024..64 * MIB, "bytes", MIB, "Maximum size of a request body."),
    integer("max_header_bytes", 1_024..262_144, "bytes", 16_384, "Maximum size of a request head."),
    integer("max_in_flight", 1..1_000_000, "requests", 1_000, "Maximum in-flight requests of one workspace per entry."),
    decimal("share", 0.001..1_000.0, "weight", 1.0, "Fair-share weight of a workspace under overload."),
    decimal("retry_budget", 0.0..0.1, "fraction", 0.1, "Maximum ratio of retries to requests."),
    integer(
        "drain_lead_s",
        0..DAY_S,
        "s",
        60,
        "Minimum time between the start of a drain and the maintenance window.",
    ),
    integer("drain_limit_s", 1..DAY_S, "s", 600, "Maximum duration of a drain."),
    integer("key_retention_s", 60..30 * DAY_S, "s", DAY_S, "Retention period of an idempotency key."),
    decimal(
        "skew_weight",
        0.0..1.0,
        "weight",
        0.5,
        "Weight of step-time skew relative to moved model weights in placement.",
    ),
    integer("priority", 0..1_000, "priority", 0, "Priority passed to model engines; higher values run first."),
    integer("first_token_objective_ms", 1..600_000, "ms", 690, "Objective for the time to the first token."),
    integer("token_gap_objective_ms", 1..60_000, "ms", 47, "Objective for the time between tokens."),
    decimal("objective", 0.5..0.99999, "fraction", 0.95, "Fraction of requests that must meet their objective."),
)

private val nameList = FieldRule.Text(NODE_NAME.pattern, "a list of names")

/** Fields by the name of their Protobuf message. */
public val fieldTable: Map<String, List<FieldSpec>> = mapOf(
    Overrides.getDescriptor().name to overrideFields,
    MaintenanceWindow.getDescriptor().name to listOf(
        FieldSpec("start", FieldRule.Instant, "Start of the window; the zone is drained by then.", required = true),
        FieldSpec("end", FieldRule.Instant, "End of the window; the zone accepts requests again.", required = true),
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
            FieldRule.Text(Regex("(/[A-Za-z0-9._~-]+)+"), "a path such as /booking, without a trailing slash"),
            "Path prefix of the service's requests; prefixes must not overlap.",
            required = true,
        ),
        FieldSpec(
            "idempotent_methods",
            FieldRule.Text(Regex("PUT|DELETE"), "a list of PUT and DELETE"),
            "Methods that may be retried, in addition to GET, HEAD and OPTIONS.",
        ),
    ),
    ModelSettings.getDescriptor().name to listOf(
        FieldSpec("ranks", FieldRule.Integer(0..1_024, "ranks"), "Number of ranks in a model group.", 1),
        FieldSpec("experts", FieldRule.Integer(0..4_096, "experts"), "Number of experts in a layer.", 0),
        FieldSpec(
            "spare_slots",
            FieldRule.Integer(0..1_024, "slots"),
            "Slots for expert replicas on each rank.",
            0,
        ),
    ),
)

/** Returns the specification of a schema field; null for nodes. */
public fun specOf(field: FieldDescriptor): FieldSpec? =
    fieldTable[field.containingType.name]?.find { it.name == field.name }

private fun integer(name: String, range: IntRange, unit: String, default: Int, summary: String) =
    FieldSpec(name = name, rule = FieldRule.Integer(range, unit), summary = summary, default = default)

private fun decimal(
    name: String,
    range: ClosedFloatingPointRange<Double>,
    unit: String,
    default: Double,
    summary: String,
) = FieldSpec(name = name, rule = FieldRule.Decimal(range, unit), summary = summary, default = default)
