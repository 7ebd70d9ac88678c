/** A process that the fault runs started: its output, its signals, and its figures from `/proc`. */
package org.jujubelead.bench.prove

import java.io.File
import java.util.concurrent.TimeUnit

private const val KB = 1024L
private const val CLOCK_TICKS_PER_SECOND = 100.0
private const val USER_TIME_FIELD = 11
private const val SYSTEM_TIME_FIELD = 12

/** Signals that fault runs send. */
public enum class ProcessSignal { STOP, CONT, TERM, KILL }

/** Starts [command] with its output in [log]. Only processes started here are signalled. */
public class ManagedProcess(
    public val name: String,
    command: List<String>,
    private val log: File,
    environment: Map<String, String> = emptyMap(),
) : AutoCloseable {
    private val process: Process = ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.apply { parentFile.mkdirs() }))
        .apply { environment().putAll(environment) }
        .start()

    /** Ends the process with a run that is ended from outside; it would go on calling ports that others use then. */
    private val endWithRun = Thread { process.destroyForcibly() }.also(Runtime.getRuntime()::addShutdownHook)

    /** Process id. */
    public val pid: Long = process.pid()

    /** True until the process has ended. */
    public val isAlive: Boolean get() = process.isAlive

    /** Exit code; null while the process runs. */
    public val exitCode: Int? get() = if (process.isAlive) null else process.exitValue()

    /** Sends a signal by process id. */
    public fun signal(signal: ProcessSignal) {
        if (process.isAlive) ProcessBuilder("kill", "-${signal.name}", pid.toString()).start().waitFor()
    }

    /** Waits at most [limitMillis]; the exit code, or null. */
    public fun waitFor(limitMillis: Long): Int? =
        if (process.waitFor(limitMillis, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Resident memory in bytes. */
    public fun residentBytes(): Long = File("/proc/$pid/status").readLines()
        .first { it.startsWith("VmRSS") }.filter { it.isDigit() }.toLong() * KB

    /** Processor time used so far, in seconds. */
    public fun processorSeconds(): Double {
        val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        return (fields[USER_TIME_FIELD].toLong() + fields[SYSTEM_TIME_FIELD].toLong()) / CLOCK_TICKS_PER_SECOND
    }

    override fun close() {
        process.destroyForcibly().waitFor()
        try {
            Runtime.getRuntime().removeShutdownHook(endWithRun)
        } catch (_: IllegalStateException) {
            // The run is being ended.
        }
    }
}
