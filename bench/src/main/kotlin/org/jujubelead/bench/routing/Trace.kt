/**
 * Request traces generated from seeds.
 *
 * `tune-*` traces are for choosing constants, `report-*` traces only for reporting. They differ in their seeds.
 */
@file:Suppress("MagicNumber")

package org.jujubelead.bench.routing

import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.routing.PrefixHashes
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random

/**
 * One request of a trace.
 *
 * @property atMicros arrival.
 * @property prefixes hashes of the prompt's blocks of 64 tokens, shortest prefix first.
 * @property outputTokens length of the answer.
 */
internal class TraceRequest(
    val atMicros: Long,
    val workspace: WorkspaceId,
    val prefixes: LongArray,
    val outputTokens: Int,
)

internal enum class Workload { CHAT, ARCHIVE }

/** A trace by name: workload, seed and whether constants may be chosen on it. */
internal data class TraceSpec(val workload: Workload, val seed: Long, val purpose: String) {
    val name: String get() = "$purpose-${workload.name.lowercase()}-$seed"

    /** The trace at a mean of [rate] requests per second for [seconds]. */
    fun generate(rate: Double, seconds: Int): List<TraceRequest> {
        val random = Random(seed * SEED_STEP + workload.ordinal)
        val times = if (workload ==
            Workload.CHAT
        ) {
            spikyTimes(random, rate, seconds)
        } else {
            steadyTimes(random, rate, seconds)
        }
        val prompts = if (workload == Workload.CHAT) ChatPrompts(random) else ArchivePrompts(random)
        return times.map { prompts.next(it) }
    }

    private companion object {
        const val SEED_STEP = 1_000_003L
    }
}

private const val MICROS = 1_000_000.0

/** Poisson arrivals. */
private fun steadyTimes(random: Random, rate: Double, seconds: Int): List<Long> {
    val times = ArrayList<Long>()
    var at = 0.0
    while (true) {
        at += exponential(random, 1 / rate)
        if (at >= seconds) return times
        times += (at * MICROS).toLong()
    }
}

/** Poisson arrivals. Spikes have half as much again, last 2 s on average and take a tenth of the time. */
private fun spikyTimes(random: Random, rate: Double, seconds: Int): List<Long> {
    val calmRate = rate / (1 + SPIKE_SHARE * (SPIKE_FACTOR - 1))
    val times = ArrayList<Long>()
    var at = 0.0
    var spike = false
    while (at < seconds) {
        val length = exponential(random, if (spike) SPIKE_SECONDS else SPIKE_SECONDS * (1 - SPIKE_SHARE) / SPIKE_SHARE)
        val end = minOf(at + length, seconds.toDouble())
        var next = at + exponential(random, 1 / (calmRate * if (spike) SPIKE_FACTOR else 1.0))
        while (next < end) {
            times += (next * MICROS).toLong()
            next += exponential(random, 1 / (calmRate * if (spike) SPIKE_FACTOR else 1.0))
        }
        at = end
        spike = !spike
    }
    return times
}

private const val SPIKE_SHARE = 0.1
private const val SPIKE_FACTOR = 1.5
private const val SPIKE_SECONDS = 2.0

private interface Prompts {
    fun next(atMicros: Long): TraceRequest
}

/** Conversations below a few shared instructions per workspace; each turn repeats the conversation so far. */
private class ChatPrompts(private val random: Random) : Prompts {
    private class Conversation(val workspace: Int, var blocks: LongArray)

    private val instructions =
        List(WORKSPACES) { List(1 + random.nextInt(3)) { fresh(random, 8 + random.nextInt(17)) } }
    private val open = ArrayList<Conversation>()

    override fun next(atMicros: Long): TraceRequest {
        val conversation = if (open.size < OPEN_LEAST ||
            random.nextDouble() < NEW_SHARE
        ) {
            start()
        } else {
            open.random(random)
        }
        val blocks = extend(conversation.blocks, 1 + random.nextInt(3), random)
        val output = lognormal(random, mean = 150.0, sigma = 0.7).toInt().coerceIn(10, 800)
        conversation.blocks = extend(blocks, output / BLOCK_TOKENS, random)
        if (conversation.blocks.size > LONGEST_BLOCKS) open.remove(conversation)
        return TraceRequest(atMicros, WorkspaceId("w${conversation.workspace}"), blocks, output)
    }

    private fun start(): Conversation {
        val workspace = zipf(random, WORKSPACES)
        val conversation = Conversation(workspace, instructions[workspace].random(random))
        if (open.size >= OPEN_MOST) open.removeAt(random.nextInt(open.size))
        open += conversation
        return conversation
    }

    private companion object {
        const val OPEN_LEAST = 50
        const val OPEN_MOST = 400
        const val NEW_SHARE = 0.25
        const val LONGEST_BLOCKS = 60
    }
}

/** Documents, each once, below one short instruction per workspace. */
private class ArchivePrompts(private val random: Random) : Prompts {
    private val instructions = List(WORKSPACES) { fresh(random, 6) }

    override fun next(atMicros: Long): TraceRequest {
        val workspace = zipf(random, WORKSPACES)
        val blocks = extend(instructions[workspace], 10 + random.nextInt(31), random)
        val output = lognormal(random, mean = 80.0, sigma = 0.4).toInt().coerceIn(10, 300)
        return TraceRequest(atMicros, WorkspaceId("w$workspace"), blocks, output)
    }
}

private const val WORKSPACES = 10
private const val BLOCK_TOKENS = 64

private fun fresh(random: Random, blocks: Int): LongArray = extend(LongArray(0), blocks, random)

private fun extend(prefix: LongArray, blocks: Int, random: Random): LongArray {
    val all = prefix.copyOf(prefix.size + blocks)
    for (i in prefix.size until all.size) {
        all[i] = PrefixHashes.mix((if (i == 0) 0L else all[i - 1]) xor random.nextLong())
    }
    return all
}

private fun exponential(random: Random, mean: Double): Double = -mean * ln(1 - random.nextDouble())

private fun lognormal(random: Random, mean: Double, sigma: Double): Double {
    val normal = sqrt(-2 * ln(1 - random.nextDouble())) * kotlin.math.cos(2 * Math.PI * random.nextDouble())
    return mean * exp(sigma * normal - sigma * sigma / 2)
}

private fun zipf(random: Random, size: Int): Int {
    val total = (1..size).sumOf { 1.0 / it }
    var left = random.nextDouble() * total
    for (i in 1..size) {
        left -= 1.0 / i
        if (left <= 0) return i - 1
    }
    return size - 1
}
