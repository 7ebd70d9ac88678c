/** Entry point of the gateway and the rank agent, and of their command-line tools. */
package org.jujubelead.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import org.jujubelead.gateway.rank.RankAgentProcess
import org.jujubelead.gateway.settings.ProcessDescription
import org.jujubelead.gateway.settings.SettingsError
import org.jujubelead.gateway.settings.readProcessDescription
import org.jujubelead.gateway.telemetry.DefectReporter
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.gateway.telemetry.RequestExplanation
import org.jujubelead.gateway.telemetry.StrayBytesReporter
import org.jujubelead.platform.wire.SETTINGS_PATH_VARIABLE
import sun.misc.Signal
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_UNKNOWN = 1
private val USAGE = """
    usage: jujubelead gateway|rank-agent [SETTINGS]   runs the gateway or the rank agent
           jujubelead check SETTINGS                  checks settings and prints their errors
           jujubelead explain REQUEST < LOGS          explains the outcome of a request
           jujubelead rehearse                        runs both programs briefly, to archive their classes during the build
""".trimIndent()

public fun main(args: Array<String>) {
    when (args.firstOrNull()) {
        "rehearse" -> {
            runForClassArchive()
            exitProcess(0)
        }

        "check" -> {
            val description = readOrExit(args.getOrNull(1) ?: usage("check needs a settings file"))
            println("${description.instance}: valid")
            exitProcess(0)
        }

        "explain" -> exitProcess(explain(args.getOrNull(1) ?: usage("explain needs the id of a request")))
    }
    val path =
        args.getOrNull(1) ?: System.getenv(SETTINGS_PATH_VARIABLE)
            ?: usage("no settings file given, and $SETTINGS_PATH_VARIABLE is not set")
    val description = readOrExit(path)
    val log = EventLog(instance = description.instance.value).start()
    DefectReporter.reportTo(log)
    StrayBytesReporter.reportTo(log)
    when (args.firstOrNull()) {
        "gateway" -> {
            val process = GatewayProcess(description, log)
            Signal.handle(Signal("TERM")) { process.stop() }
            Signal.handle(Signal("HUP")) { reload(path, log, process::reload) }
            process.run()
        }

        "rank-agent" -> {
            val process = RankAgentProcess(description, log)
            Signal.handle(Signal("TERM")) { process.stop() }
            Signal.handle(Signal("HUP")) { reload(path, log) { log.log(LogEvent.SETTINGS_RELOADED) } }
            process.run()
        }

        else -> usage("unknown role \"${args.firstOrNull().orEmpty()}\"")
    }
    log.flush()
    exitProcess(0)
}

/** Explains [request] from the log lines on standard input. Returns the exit code. */
private fun explain(request: String): Int {
    val explanation = RequestExplanation(generateSequence(::readlnOrNull)).explain(request)
    if (explanation == null) System.err.println("jujubelead: no log line has the id of request $request")
    explanation?.forEach(::println)
    return if (explanation == null) EXIT_UNKNOWN else 0
}

/** Reads the settings. Prints errors and exits if there are any. */
private fun readOrExit(path: String): ProcessDescription = read(path).getOrElse { faults ->
    faults.forEach { System.err.println("$path: ${it.path}: ${it.message}") }
    exitProcess(EXIT_USAGE)
}

private fun read(path: String): Result<ProcessDescription, List<SettingsError>> =
    try {
        readProcessDescription(File(path).readText())
    } catch (e: IOException) {
        Err(listOf(SettingsError("", "cannot be read: ${e.message}")))
    }

/** Applies changed settings. If they have errors, these are logged and the current settings stay in effect. */
private fun reload(path: String, log: EventLog, apply: (ProcessDescription) -> Unit) {
    read(path).onSuccess(apply).onFailure { faults ->
        log.log(LogEvent.SETTINGS_REJECTED, "faults" to faults.joinToString("; ") { "${it.path}: ${it.message}" })
    }
}

private fun usage(message: String): Nothing {
    System.err.println("jujubelead: $message")
    System.err.println(USAGE)
    exitProcess(EXIT_USAGE)
}
