/** Reads what the targets executed from their journals. */
package org.jujubelead.bench.prove

import kotlinx.serialization.json.Json
import org.jujubelead.standins.ExecutionBody
import org.jujubelead.standins.GenerationStartBody
import java.io.RandomAccessFile

private val json = Json { ignoreUnknownKeys = true }

/** Follows the journals of all targets of [fleet]. */
internal class Executions(private val fleet: Fleet) {
    private val offsets = HashMap<String, Long>()

    /** Executions recorded since the last call. */
    fun next(): List<Execution> = fleet.agents.flatMap { agent ->
        lines(agent.instance).map { line ->
            if (agent.target?.kind == "engine") {
                val start = json.decodeFromString<GenerationStartBody>(line)
                Execution(
                    target = agent.instance,
                    subject = start.prompt.removePrefix(promptOf("")),
                    idempotent = true,
                    atMillis = start.atMillis,
                    attempt = start.attempt,
                )
            } else {
                serviceExecution(agent.instance, json.decodeFromString(line))
            }
        }
    }

    private fun serviceExecution(target: String, body: ExecutionBody) = Execution(
        target = target,
        subject = if (body.method == "GET") body.path.removePrefix(lookupPath("")) else body.body,
        idempotent = body.method == "GET",
        atMillis = body.atMillis,
        key = body.idempotencyKey,
    )

    private fun lines(instance: String): List<String> {
        val file = fleet.journal(instance)
        if (!file.exists()) return emptyList()
        return RandomAccessFile(file, "r").use { reader ->
            val from = offsets[instance] ?: 0L
            val bytes = ByteArray((reader.length() - from).toInt())
            reader.seek(from)
            reader.readFully(bytes)
            // A line that is being written is left for the next call.
            val end = bytes.lastIndexOf('\n'.code.toByte()) + 1
            offsets[instance] = from + end
            bytes.decodeToString(0, end).lines().filter { it.isNotEmpty() }
        }
    }
}
