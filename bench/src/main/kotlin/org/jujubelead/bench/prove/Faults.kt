/** Faults that a run injects into a running system, drawn from its seed. */
package org.jujubelead.bench.prove

import kotlinx.coroutines.delay
import kotlin.random.Random

private const val LONGEST_PAUSE_MS = 2_500L
private const val SHORTEST_MS = 300L
private const val OUTAGE_MS = 1_500L
private const val BROKEN_TOKENS = 5
private const val RELAY_DELAY_MS = 120L

/** Kinds of faults. */
internal enum class FaultKind {
    RELAY_CUT,
    RELAY_FREEZE,
    RELAY_DELAY,
    RELAY_REFUSAL,
    AGENT_PAUSE,
    AGENT_KILL,
    TARGET_KILL,
    TARGET_PAUSE,
    ENGINE_BREAK,
    ENGINE_STALL,
    SERVICE_LOSES_ANSWERS,
    PLATFORM_OUTAGE,
    LOST_WRITES,
    ZONE_CUT_FROM_PLATFORM,
    ENTRY_PAUSE,
    LIST_FROZEN,
}

/** Injects faults and undoes them. */
internal class FaultInjector(private val fleet: Fleet, private val random: Random, private val note: (String) -> Unit) {
    private val killed = LinkedHashSet<Member>()

    /** Injects one fault of [kind]; returns when it has been undone, except that killed processes wait for [heal]. */
    suspend fun inject(kind: FaultKind) {
        val agent = fleet.agents.random(random)
        val length = random.nextLong(SHORTEST_MS, LONGEST_PAUSE_MS)
        note("$kind ${agent.instance} $length ms")
        when (kind) {
            FaultKind.RELAY_CUT -> agent.relay?.cut()

            FaultKind.RELAY_FREEZE -> agent.relay?.freeze()

            FaultKind.RELAY_DELAY -> during(length, { agent.relay?.delayMs = RELAY_DELAY_MS }) {
                agent.relay?.delayMs =
                    0
            }

            FaultKind.RELAY_REFUSAL -> during(length, {
                agent.relay?.refusing = true
            }) { agent.relay?.refusing = false }

            FaultKind.AGENT_PAUSE -> pause(agent.process, length)

            FaultKind.AGENT_KILL -> kill(agent, agent.process)

            FaultKind.TARGET_KILL -> kill(agent, requireNotNull(agent.target).process)

            FaultKind.TARGET_PAUSE -> pause(requireNotNull(agent.target).process, length)

            FaultKind.ENGINE_BREAK -> control(engine(), """{"breakAfterTokens":$BROKEN_TOKENS}""", length)

            FaultKind.ENGINE_STALL -> control(engine(), """{"stalled":true}""", length)

            FaultKind.SERVICE_LOSES_ANSWERS ->
                control(
                    service(),
                    """{"delayMs":50,"hangs":0.2,"cutAfterRunning":0.2,"failAfterRunning":0.1}""",
                    length,
                )

            FaultKind.PLATFORM_OUTAGE -> platform("""{"outage":true}""", OUTAGE_MS, directory = """{"outage":true}""")

            FaultKind.LOST_WRITES -> platform("""{"lostAnswers":0.3,"lateWrites":0.2,"latencyMs":20}""", length)

            FaultKind.ZONE_CUT_FROM_PLATFORM -> fleet.platformRelays.random(random).let { relay ->
                during(
                    length,
                    {
                        relay.refusing = true
                        relay.cut()
                    },
                ) { relay.refusing = false }
            }

            FaultKind.ENTRY_PAUSE -> pause(fleet.entries.random(random).process, length)

            FaultKind.LIST_FROZEN -> platform("{}", length, directory = """{"frozen":true,"lagMs":1000}""")
        }
    }

    /** Starts killed processes again and waits until they are ready. */
    fun heal() {
        killed.forEach { agent ->
            val target = requireNotNull(agent.target)
            if (!target.process.isAlive) fleet.startTarget(target, agent.instance)
            if (!agent.process.isAlive) fleet.startMember(agent)
        }
        killed.forEach { fleet.awaitReady(it) }
        killed.clear()
    }

    private fun engine() = fleet.agents.filter { it.target?.kind == "engine" }.random(random)

    private fun service() = fleet.agents.filter { it.target?.kind == "service" }.random(random)

    private fun kill(agent: Member, process: ManagedProcess) {
        killed += agent
        process.signal(ProcessSignal.KILL)
    }

    private suspend fun pause(process: ManagedProcess, length: Long): Unit =
        during(length, { process.signal(ProcessSignal.STOP) }) { process.signal(ProcessSignal.CONT) }

    private suspend fun control(agent: Member, body: String, length: Long) {
        val target = requireNotNull(agent.target)
        val url = "${target.url}/_control/${target.kind}"
        during(length, { Http.put(url, body) }) { Http.put(url, "{}") }
    }

    private suspend fun platform(keyValue: String, length: Long, directory: String = "{}") {
        during(
            length,
            {
                Http.put("${fleet.platformUrl}/_control/kv", keyValue)
                Http.put("${fleet.platformUrl}/_control/directory", directory)
            },
        ) {
            Http.put("${fleet.platformUrl}/_control/kv", "{}")
            Http.put("${fleet.platformUrl}/_control/directory", "{}")
        }
    }

    private suspend fun during(length: Long, begin: () -> Unit, end: () -> Unit) {
        begin()
        try {
            delay(length)
        } finally {
            end()
        }
    }
}
