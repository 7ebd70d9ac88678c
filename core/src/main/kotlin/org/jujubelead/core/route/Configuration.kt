/**
 * An accepted configuration of a deployment. Immutable; a newer one has a higher store revision.
 */
package org.jujubelead.core.route

import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import kotlin.time.Duration

/** A workspace as its key names it. A [priority] takes precedence over that of the route. */
public data class Workspace(val id: WorkspaceId, val priority: Int?)

/** What a caller may send, and how long it may take. Sizes in bytes. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/**
 * Speed of a model engine, as the operator publishes it.
 *
 * @property maxBatchSize requests that run at once.
 * @property kvCacheTokens tokens that fit into memory.
 * @property stepMillis time of a token step without load.
 * @property stepMillisPerRequest added time of a step for each request that writes.
 * @property stepMillisPerThousandTokens added time of a step for each 1,000 tokens of context that are held.
 * @property prefillTokensPerSecond prompt tokens read in a second.
 * @property stepsPerPass token steps in one pass.
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
)

/** How experts are laid out over the ranks of a group. */
public data class ExpertLayout(
    val sets: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val spareSlotsPerRank: Int,
    val expertShare: Double,
)

/** A service: [maxConnections] that one replica takes from all callers together, and its engine, if it is a model. */
public data class ServiceProfile(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?,
)

/** @property revision of the store at which the configuration was written. */
public class Configuration(
    public val version: Long,
    public val revision: Revision,
    public val routes: RouteTable,
    public val services: Map<ServiceId, ServiceProfile>,
    public val keys: Map<String, Workspace>?,
    public val limits: CallerLimits,
)
