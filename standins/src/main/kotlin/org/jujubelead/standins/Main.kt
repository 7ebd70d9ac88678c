/** Entry point of the simulated services: `jujubelead-standins kv|directory|platform|engine|service --port P ...`. */
package org.jujubelead.standins

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.File
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private const val EXIT_USAGE = 2

/** Options of all subcommands; each subcommand ignores those of the others. */
public class StandInOptions {
    @field:Option(name = "--port", usage = "TCP port on 127.0.0.1; 0 selects a free port")
    public var port: Int = 0

    @field:Option(name = "--seed", usage = "seed of the injected faults")
    public var seed: Long = 1

    @field:Option(name = "--writes-per-second", usage = "kv: maximum number of writes per second")
    public var writesPerSecond: Int = KeyValueLimits().writesPerSecond

    @field:Option(name = "--reads-per-second", usage = "kv: maximum number of reads per second")
    public var readsPerSecond: Int = KeyValueLimits().readsPerSecond

    @field:Option(name = "--lag-ms", usage = "directory: milliseconds before a change becomes visible")
    public var lagMs: Long = 0

    @field:Option(name = "--model", usage = "engine: model name")
    public var model: String = "chat"

    @field:Option(name = "--capacity", usage = "engine: maximum number of requests that run concurrently")
    public var capacity: Int = EngineProfile().capacity

    @field:Option(name = "--first-token-ms", usage = "engine: milliseconds to the first token without a cached prefix")
    public var firstTokenMs: Long = EngineProfile().firstToken.inWholeMilliseconds

    @field:Option(name = "--token-gap-ms", usage = "engine: milliseconds between tokens")
    public var tokenGapMs: Long = EngineProfile().tokenGap.inWholeMilliseconds

    @field:Option(name = "--ignores-fences", usage = "engine: accepts orders with an outdated fencing token")
    public var ignoresFences: Boolean = false

    @field:Option(name = "--journal", usage = "engine, service: file to which executions are appended")
    public var journal: File? = null

    @field:Option(name = "--name", usage = "service: name")
    public var name: String = "service"
}

private fun modules(command: String, options: StandInOptions): List<HttpModule>? {
    val keyValue = {
        val limits = KeyValueLimits(
            writesPerSecond = options.writesPerSecond,
            readsPerSecond = options.readsPerSecond,
        )
        KeyValueHttp(service = KeyValueService(limits), seed = options.seed)
    }
    val directory = { DirectoryHttp(DirectoryService(lag = options.lagMs.milliseconds)) }
    return when (command) {
        "kv" -> listOf(keyValue())
        "directory" -> listOf(directory())
        "platform" -> listOf(keyValue(), directory())
        "engine" -> listOf(EngineHttp(EngineService(engineProfile(options), Journal(options.journal))))
        "service" -> listOf(ServiceHttp(name = options.name, seed = options.seed, journal = Journal(options.journal)))
        else -> null
    }
}

private fun engineProfile(options: StandInOptions) = EngineProfile(
    model = options.model,
    capacity = options.capacity,
    firstToken = options.firstTokenMs.milliseconds,
    tokenGap = options.tokenGapMs.milliseconds,
    ignoresFences = options.ignoresFences,
    seed = options.seed,
)

public fun main(args: Array<String>) {
    val options = StandInOptions()
    val parser = CmdLineParser(options)
    val modules = try {
        parser.parseArgument(args.drop(1))
        modules(command = args.firstOrNull().orEmpty(), options = options)
    } catch (e: CmdLineException) {
        System.err.println("jujubelead-standins: ${e.message}")
        null
    }
    if (modules == null) {
        System.err.println("usage: jujubelead-standins kv|directory|platform|engine|service [OPTIONS]")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    val server = StandInServer(port = options.port, modules = modules)
    Runtime.getRuntime().addShutdownHook(Thread { server.close() })
    println("ready ${server.port}")
    server.waitUntilClosed()
}
