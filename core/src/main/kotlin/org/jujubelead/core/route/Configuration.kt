/** An accepted configuration of a deployment. Immutable; a newer configuration has a higher version. */
package org.jujubelead.core.route

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The workspace that an API key belongs to. A [priority] overrides that of the route. */
public data class Workspace(val id: WorkspaceId, val priority: Int?)

/** Size limits and timeouts for requests of callers. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/**
 * Performance of a model engine as published by the operator.
 *
 * @property maxBatchSize maximum number of requests that run at the same time.
 * @property kvCacheTokens capacity of the KV cache in tokens.
 * @property stepMillis duration of a decode step without load.
 * @property stepMillisPerRequest additional duration of a step per decoding request.
 * @property stepMillisPerThousandTokens additional duration of a step per 1,000 tokens of cached context.
 * @property prefillTokensPerSecond prompt tokens processed per second.
 * @property stepsPerPass decode steps in one forward pass.
 */
public data class EngineProfile(
    val maxBatchSize: Int,
    val kvCacheTokens: Long,
    val stepMillis: Double,
    val stepMillisPerRequest: Double,
    val stepMillisPerThousandTokens: Double,
    val prefillTokensPerSecond: Double,
    val stepsPerPass: Int,
    val experts: ExpertLayout?,
) {
    /** Duration of a forward pass without load. */
    val fixedPassTime: Duration get() = (stepMillis * stepsPerPass).milliseconds
}

/**
 * Expert slots of the ranks of a group.
 *
 * @property slotsPerRank experts that one rank can hold in a set.
 * @property spareSlotsPerRank experts that a new map may add to a rank.
 */
public data class ExpertLayout(
    val sets: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val spareSlotsPerRank: Int,
    val expertShare: Double,
)

/**
 * @property maxConnections maximum number of connections that one replica accepts from all its callers together.
 * @property engine performance of the model engine; null for plain services.
 */
public data class ServiceProfile(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?,
)

public class Configuration(
    public val version: Long,
    public val routes: RouteTable,
    public val services: Map<ServiceId, ServiceProfile>,
    public val keys: Map<String, Workspace>?,
    public val limits: CallerLimits,
)
