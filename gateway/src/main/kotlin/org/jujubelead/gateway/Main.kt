/** Entry point of the processes that run on the platform's machines. */
package org.jujubelead.gateway

import com.github.michaelbull.result.getOrElse
import org.jujubelead.gateway.rank.RankAgentProcess
import org.jujubelead.gateway.settings.readProcessDescription
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import sun.misc.Signal
import java.io.File
import kotlin.system.exitProcess

/** Variable with the path of the settings file. */
private const val SETTINGS_VARIABLE = "JUJUBELEAD_BOOT"
private const val EXIT_USAGE = 2

public fun main(args: Array<String>) {
    val path =
        args.getOrNull(1) ?: System.getenv(SETTINGS_VARIABLE) ?: usage("$SETTINGS_VARIABLE names no settings file")
    val description = readProcessDescription(File(path).readText()).getOrElse { faults ->
        faults.forEach { System.err.println("$path: ${it.path}: ${it.message}") }
        exitProcess(EXIT_USAGE)
    }
    val log = EventLog(instance = description.instance.value).start()
    when (args.firstOrNull()) {
        "gateway" -> {
            val process = GatewayProcess(description, log)
            Signal.handle(Signal("TERM")) { process.stop() }
            Signal.handle(Signal("HUP")) { log.log(LogEvent.SETTINGS_RELOADED, "path" to path) }
            process.run()
        }

        "rank-agent" -> {
            val process = RankAgentProcess(description, log)
            Signal.handle(Signal("TERM")) { process.stop() }
            Signal.handle(Signal("HUP")) { log.log(LogEvent.SETTINGS_RELOADED, "path" to path) }
            process.run()
        }
        else -> usage("unknown role \"${args.firstOrNull().orEmpty()}\"")
    }
    log.flush()
    exitProcess(0)
}

private fun usage(message: String): Nothing {
    System.err.println("jujubelead: $message")
    System.err.println("usage: jujubelead gateway|rank-agent [SETTINGS]")
    exitProcess(EXIT_USAGE)
}
