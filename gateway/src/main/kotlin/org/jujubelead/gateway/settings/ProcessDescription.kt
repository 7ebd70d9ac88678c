/**
 * Settings of one process, read from a YAML file that the platform creates from deploy/process.yaml.template.
 *
 * Unknown fields are ignored. Missing and invalid fields are reported together, and the process does not start.
 */
package org.jujubelead.gateway.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.replica.Endpoint
import org.yaml.snakeyaml.LoaderOptions
import org.yaml.snakeyaml.Yaml
import org.yaml.snakeyaml.constructor.SafeConstructor
import org.yaml.snakeyaml.error.YAMLException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds that the operator guarantees or requires.
 *
 * @property strictRevocation true if a revoked key must not be accepted after [revocation].
 * @property retryRatio retries per request that all instances together may send to a service within [retryWindow].
 * @property retrySlack retries per window in addition to the ratio.
 * @property configurationDelay maximum time until an accepted configuration is in effect.
 * @property drainDelay maximum time until a draining replica receives no more requests.
 * @property stopGrace time between the stop request and the kill.
 */
public data class DeploymentBounds(
    val strictRevocation: Boolean,
    val revocation: Duration,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retrySlack: Double,
    val stopGrace: Duration,
    val configurationDelay: Duration,
    val drainDelay: Duration,
) {
    /** Polling interval of the store. One failed read must not delay a change beyond its bound. */
    val pollInterval: Duration get() = minOf(configurationDelay, drainDelay) * POLL_FRACTION

    /**
     * Maximum age of the configuration at which keys are accepted. The rest of the revocation time covers a wall clock
     * that was set back while the instance was suspended.
     */
    val trustedConfigurationAge: Duration get() = revocation * TRUSTED_FRACTION

    /** Like [trustedConfigurationAge], while the store answers but may lack a newer configuration. */
    val maxConfigurationAge: Duration get() = revocation * MAX_FRACTION

    private companion object {
        /** Leaves a second of the users' bounds for a wall clock that was set back. */
        const val MAX_FRACTION = 0.8

        /** The platform gives no credit for requests with keys beyond this fraction of the bound. */
        const val TRUSTED_FRACTION = 0.6

        /** Two intervals of this fraction and the duration of a read fit into the bound. */
        const val POLL_FRACTION = 0.45
    }
}

/**
 * @property callers address for callers; null for a process without callers, such as a rank agent.
 * @property replica address of the replica on the same instance, if there is one.
 * @property service service of that replica.
 * @property internalPorts first and last port for traffic between processes of the deployment.
 */
public data class ProcessDescription(
    val instance: InstanceId,
    val machine: String,
    val zone: ZoneId,
    val callers: Endpoint?,
    val readiness: Endpoint?,
    val replica: Endpoint?,
    val service: ServiceId?,
    val internalPorts: IntRange,
    val store: Endpoint,
    val bounds: DeploymentBounds,
)

/** A missing or invalid field. */
public data class SettingsError(val path: String, val message: String)

/** Parses and validates the settings in [text]. */
public fun readProcessDescription(text: String): Result<ProcessDescription, List<SettingsError>> {
    val root = try {
        Yaml(SafeConstructor(LoaderOptions())).load<Any?>(text)
    } catch (e: YAMLException) {
        return Err(listOf(SettingsError("", "not YAML: ${e.message}")))
    }
    if (root !is Map<*, *>) return Err(listOf(SettingsError("", "must be a mapping")))
    val fields = FieldReader(root)
    val bounds = fields.section("bounds")
    val description = ProcessDescription(
        instance = InstanceId(fields.text("instance")),
        machine = fields.text("machine"),
        zone = ZoneId(fields.text("zone")),
        callers = fields.optionalEndpoint("callers"),
        readiness = fields.optionalEndpoint("readiness"),
        replica = fields.optionalEndpoint("replica"),
        service = fields.optionalText("service")?.let(::ServiceId),
        internalPorts = fields.ports("internalPorts"),
        store = fields.endpoint("store"),
        bounds = DeploymentBounds(
            strictRevocation = bounds.flag("strictRevocation"),
            revocation = bounds.number("revocationMillis", POSITIVE).milliseconds,
            retryRatio = bounds.number("retryRatio", NOT_NEGATIVE),
            retryWindow = bounds.number("retryWindowSeconds", POSITIVE).seconds,
            retrySlack = bounds.number("retrySlack", NOT_NEGATIVE),
            stopGrace = bounds.number("stopGraceSeconds", POSITIVE).seconds,
            configurationDelay = bounds.number("configurationMillis", POSITIVE).milliseconds,
            drainDelay = bounds.number("drainMillis", POSITIVE).milliseconds,
        ),
    )
    val faults = fields.faults
    return if (faults.isEmpty()) Ok(description) else Err(faults)
}

private val POSITIVE = Double.MIN_VALUE..Double.MAX_VALUE
private val NOT_NEGATIVE = 0.0..Double.MAX_VALUE

/** Reads the fields of a mapping and collects their errors. */
private class FieldReader(
    private val fields: Map<*, *>,
    private val prefix: String = "",
    val faults: MutableList<SettingsError> = ArrayList(),
) {
    fun section(name: String): FieldReader {
        val value = fields[name] as? Map<*, *>
        if (value == null) fault(name, "must be a mapping")
        return FieldReader(value.orEmpty(), "$prefix$name.", faults)
    }

    fun text(name: String): String {
        val value = fields[name] as? String
        if (value.isNullOrEmpty()) fault(name, "must be a non-empty string")
        return value.orEmpty()
    }

    fun optionalText(name: String): String? = if (fields[name] == null) null else text(name)

    fun flag(name: String): Boolean {
        val value = fields[name] as? Boolean
        if (value == null) fault(name, "must be true or false")
        return value ?: false
    }

    fun number(name: String, allowed: ClosedFloatingPointRange<Double>): Double {
        val value = (fields[name] as? Number)?.toDouble()
        if (value == null || value !in allowed) fault(name, "must be a number of at least ${allowed.start.toLong()}")
        return value ?: 0.0
    }

    fun ports(name: String): IntRange {
        val value = (fields[name] as? List<*>)?.mapNotNull { it as? Int }
        if (value?.size != 2 || value[0] > value[1]) {
            fault(name, "must be a list of the first and the last port")
            return IntRange.EMPTY
        }
        return value[0]..value[1]
    }

    fun optionalEndpoint(name: String): Endpoint? = if (fields[name] == null) null else endpoint(name)

    fun endpoint(name: String): Endpoint {
        val value = (fields[name] as? String)?.let(Endpoint::parse)
        if (value == null) fault(name, "must be HOST:PORT")
        return value ?: Endpoint("", 0)
    }

    private fun fault(name: String, message: String) {
        faults += SettingsError("$prefix$name", message)
    }
}
