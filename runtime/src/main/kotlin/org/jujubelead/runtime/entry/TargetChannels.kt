/**
 * Connections from this entry to agents.
 *
 * A connection can go silent for good while new ones work, so a caller that saw silence asks for a fresh one with
 * [TargetChannels.replace]; streams on the old connection are left to their own heartbeat deadline.
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
    /** Stub without a deadline; callers set one per call. */
    public val stub: AgentCoroutineStub = AgentCoroutineStub(channel)

    internal fun shutdown() {
        channel.shutdown()
    }

    internal fun awaitOrStop() {
        if (!channel.awaitTermination(0, TimeUnit.SECONDS)) channel.shutdownNow()
    }
}

/** Thread-safe pool with one current connection per agent. */
public class TargetChannels(private val transport: Transport) : AutoCloseable {
    private val channels = ConcurrentHashMap<InstanceId, TargetChannel>()

    /** The current connection to [target], opened when there is none or its address changed. */
    public fun get(target: InstanceId, address: Address): TargetChannel =
        channels.compute(target) { _, current ->
            if (current != null && current.address == address) current else open(address).also { current?.shutdown() }
        }!!

    /** Opens a new connection in place of [old], unless another caller has done so already. */
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
        channels.values.forEach { it.awaitOrStop() }
    }

    private fun open(address: Address) = TargetChannel(address = address, channel = transport.channel(address))
}
