/** Resources common to both roles: identity, clock, transport and platform clients. */
package org.jujubelead.runtime.process

import arrow.fx.coroutines.ResourceScope
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.platform.HttpInstanceDirectory
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.InstanceDirectory
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.ProcessSettings
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.rpc.PeerChannels
import org.jujubelead.runtime.rpc.Transport
import org.jujubelead.runtime.telemetry.Metrics
import org.jujubelead.settings.SettingsDistributor
import java.util.UUID

/** Thrown when a process cannot start with its settings. */
public class StartException(message: String) : Exception(message)

/** Lives as long as the process runs. */
public class ProcessContext(
    public val settings: ProcessSettings,
    public val listen: Address,
    public val http: Address,
    public val control: ControlThread,
    public val transport: Transport,
    public val keyValue: KeyValueStore,
    public val directory: InstanceDirectory,
    public val peers: PeerChannels,
    public val metrics: Metrics,
    public val scope: CoroutineScope,
) {
    /** Instance list of the platform. */
    public val instances: InstanceList = InstanceList(directory, control::now)

    public val instance: InstanceId = InstanceId(settings.instance)
    public val zone: ZoneId = ZoneId(settings.zone)

    /** Creates the instance record of [incarnation] of this process. */
    public fun record(
        role: InstanceRole,
        incarnation: Incarnation,
        state: InstanceState,
    ): InstanceRecord = InstanceRecord(
        id = instance,
        incarnation = incarnation,
        zone = zone,
        role = role,
        host = listen.host,
        port = listen.port,
        state = state,
    )
}

/** Creates the settings distributor of this process, which is registered as [self]. */
public fun ProcessContext.distributor(self: InstanceRecord): SettingsDistributor = SettingsDistributor(
    self = self,
    kv = keyValue,
    peers = peers,
    instances = instances.records,
)

/** Creates the identifier of a new incarnation: a process start, or the return to service after maintenance. */
public fun newIncarnation(): Incarnation = Incarnation(UUID.randomUUID().toString())

/** Creates the resources of the process. They are released with the scope. */
public suspend fun ResourceScope.processContext(settings: ProcessSettings): ProcessContext {
    val listen = address("listen", settings.listen)
    val http = address("http", settings.http)
    val control = install({ ControlThread("control") }) { resource, _ -> resource.close() }
    val tls = if (settings.hasTls()) settings.tls else null
    val transport = install({
        Transport.create(tls, listen).getOrElse { throw StartException("tls: $it") }
    }) { resource, _ -> resource.close() }
    val keyValue = install({ HttpKeyValueStore(settings.keyValueUrl) }) { resource, _ -> resource.close() }
    val directory = install({ HttpInstanceDirectory(settings.directoryUrl) }) { resource, _ -> resource.close() }
    val scope = install({ CoroutineScope(SupervisorJob() + Dispatchers.Default) }) { resource, _ -> resource.cancel() }
    return ProcessContext(
        settings = settings,
        listen = listen,
        http = http,
        control = control,
        transport = transport,
        keyValue = keyValue,
        directory = directory,
        peers = install({ PeerChannels(transport) }) { resource, _ -> resource.close() },
        metrics = Metrics(),
        scope = scope,
    )
}

private fun address(key: String, text: String): Address =
    Address.parse(text) ?: throw StartException("$key: \"$text\" is not an IP address and port, such as 127.0.0.1:8080")
