/** What the parts of an agent need of the process that they run in. */
package org.jujubelead.gateway.rank

import io.netty.channel.EventLoop
import org.jujubelead.gateway.net.Clock
import org.jujubelead.gateway.net.HttpClient
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.RpcClients
import org.jujubelead.gateway.telemetry.EventLog

/** @property loop event loop on which all parts run, and on which [clients] answer. */
internal class AgentRuntime(
    val loop: EventLoop,
    val log: EventLog,
    val clients: RpcClients = RpcClients { endpoint, timeout -> HttpClient(endpoint, loop, timeout) },
    val clock: Clock = ProcessClock,
)
