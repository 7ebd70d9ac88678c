/**
 * Runs the gateway and the rank agent on loopback for a short time, so that the build can archive the classes that they
 * load (class data sharing).
 *
 * The archive shortens start-up, so that a killed gateway or agent serves again sooner. There is neither a store nor a
 * replica: both programs only see connection errors.
 */
package org.jujubelead.gateway

import com.github.michaelbull.result.get
import org.jujubelead.core.expertmap.MapPlanner
import org.jujubelead.core.replica.Endpoint
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.time.Timestamp
import org.jujubelead.gateway.rank.RankAgentProcess
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.settings.readProcessDescription
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.platform.wire.MinimalMessages
import org.jujubelead.platform.wire.decodeConfiguration
import org.jujubelead.platform.wire.decodeReplicaPage
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import kotlin.concurrent.thread

private const val RUN_MILLIS = 1_500L
private const val REQUEST_MILLIS = 500

internal fun runForClassArchive() {
    val log = EventLog().start()
    val gateway = loopbackDescription()
    thread(isDaemon = true) { GatewayProcess(gateway, log).run() }
    thread(isDaemon = true) { RankAgentProcess(loopbackDescription(), log).run() }
    Thread.sleep(RUN_MILLIS)
    decodeReplicaPage(MinimalMessages.REPLICA_PAGE, StoreEra(1)).get()
    decodeConfiguration(MinimalMessages.CONFIGURATION).get()
    val layout = ExpertLayout(sets = 1, experts = 2, slotsPerRank = 2, spareSlotsPerRank = 1, expertShare = 1.0)
    MapPlanner(layout).recordChoices(firstSet = 0, counts = listOf(1, 2), now = Timestamp.ZERO)
    val callers = checkNotNull(gateway.callers) { "the gateway has an address for callers" }
    val request = URI("http://$callers/rehearsal").toURL().openConnection() as HttpURLConnection
    request.connectTimeout = REQUEST_MILLIS
    request.readTimeout = REQUEST_MILLIS
    println("rehearsed: status ${request.responseCode}")
}

private fun loopbackDescription(): ProcessDescription {
    val address = { Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort }) }
    val port = address().port
    val text = """
        |instance: rehearsal
        |machine: 127.0.0.1
        |zone: none
        |callers: "${address()}"
        |readiness: "${address()}"
        |replica: "${address()}"
        |service: none
        |internalPorts: [$port, $port]
        |store: "${address()}"
        |bounds: {strictRevocation: true, revocationMillis: 5000, retryRatio: 0.2, retryWindowSeconds: 10,
        |  retrySlack: 10, stopGraceSeconds: 1, configurationMillis: 2000, drainMillis: 2000}
    """.trimMargin()
    return checkNotNull(readProcessDescription(text).get()) { "the built-in settings are valid" }
}
