/**
 * Connections from this entry to agents.
 *
 * An established connection can stop delivering data while new connections work. A caller that times out therefore
 * opens a new one with [TargetChannels.replace]. Other streams on the old connection fail by their own heartbeat
 * timeout.
 */
package org.jujubelead.runtime.entry

import io.grpc.ManagedChannel
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.protocol.AgentGrpcKt.AgentCoroutineStub
import org.jujubelead.runtime.rpc.Address
import org.jujubelead.runtime.rpc.Transport
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** One connection to an agent. */
public class TargetChannel(public val address: Address, private val channel: ManagedChannel) {
    /** Stub without a default deadline; callers set one per call. */
    public val stub: AgentCoroutineStub = AgentCoroutineStub(channel)

    internal fun shutdown() {
        channel.shutdown()
    }

    internal fun terminateNow() {
        if (!channel.awaitTermination(0, TimeUnit.SECONDS)) channel.shutdownNow()
    }
}

/** Thread-safe pool with one connection per agent. */
public class TargetChannels(private val transport: Transport) : AutoCloseable {
    private val channels = ConcurrentHashMap<InstanceId, TargetChannel>()

    /** Returns the connection to [target], opening one if there is none or the address has changed. */
    public fun get(target: InstanceId, address: Address): TargetChannel =
        channels.compute(target) { _, current ->
            if (current != null && current.address == address) current else open(address).also { current?.shutdown() }
        }!!

    /** Replaces [old] by a new connection, unless another caller has already replaced it. */
    public fun replace(target: InstanceId, old: TargetChannel): TargetChannel =
        channels.compute(target) { _, current ->
            if (current === old) open(old.address).also { old.shutdown() } else current ?: open(old.address)
        }!!

    /** Closes the connections to targets that are not in [known]. */
    public fun retain(known: Set<InstanceId>) {
        channels.keys.filter { it !in known }.forEach { channels.remove(it)?.shutdown() }
    }

    override fun close() {
        channels.values.forEach { it.shutdown() }
        channels.values.forEach { it.terminateNow() }
    }

    private fun open(address: Address) = TargetChannel(address = address, channel = transport.channel(address))
}
