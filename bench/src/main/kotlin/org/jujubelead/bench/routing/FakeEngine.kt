/**
 * A model engine with continuous batching and a prefix cache of limited memory, in virtual time.
 *
 * In each step the engine prefills up to a chunk of blocks and emits one token for every request past its prefill.
 */
package org.jujubelead.bench.routing

/** A request inside an engine. */
internal class EngineRequest(
    val prefixes: LongArray,
    var tokensLeft: Int,
    val onFirstToken: (Long) -> Unit,
    val onEnd: (Long) -> Unit,
) {
    var blocksLeft = 0
    var matched = 0
    var emitted = false
}

internal class FakeEngine(private val events: EventQueue, val slots: Int = SLOTS) {
    private val waiting = ArrayDeque<EngineRequest>()
    private val running = ArrayList<EngineRequest>()
    private val cache = object : LinkedHashMap<Long, Unit>(CACHE_BLOCKS * 2, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > CACHE_BLOCKS
    }
    private var stepping = false

    /** Factor on the time of every step. */
    var slowness = 1.0

    /** A lost engine takes requests and never answers. */
    var lost = false
        private set

    var blocksSeen = 0L
        private set
    var blocksHit = 0L
        private set

    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.size
    val outstanding: Int get() = running.size + waiting.size

    fun submit(request: EngineRequest) {
        if (lost) return
        waiting += request
        if (!stepping) step()
    }

    /** Removes a request whose caller left; it may be half done. */
    fun cancel(request: EngineRequest) {
        if (!waiting.remove(request)) running.remove(request)
    }

    fun lose() {
        lost = true
        waiting.clear()
        running.clear()
    }

    private fun step() {
        while (running.size < slots && waiting.isNotEmpty()) start(waiting.removeFirst())
        stepping = running.isNotEmpty()
        if (!stepping) return
        var chunk = CHUNK_BLOCKS
        var decoding = 0
        for (request in running) {
            if (request.blocksLeft == 0) decoding++
            val blocks = minOf(chunk, request.blocksLeft)
            request.blocksLeft -= blocks
            chunk -= blocks
        }
        val micros = STEP_MICROS + decoding * SEQUENCE_MICROS + (CHUNK_BLOCKS - chunk) * BLOCK_MICROS
        events.after((micros * slowness).toLong()) { now -> endStep(now) }
    }

    private fun start(request: EngineRequest) {
        val prefixes = request.prefixes
        var matched = prefixes.size
        while (matched > 0 && prefixes[matched - 1] !in cache) matched--
        for (i in 0 until matched) cache[prefixes[i]]
        request.matched = matched
        request.blocksLeft = (prefixes.size - matched).coerceAtLeast(1)
        blocksSeen += prefixes.size
        blocksHit += matched
        running += request
    }

    private fun endStep(now: Long) {
        if (lost) return
        val before = running.toTypedArray()
        for (request in before) {
            if (request.blocksLeft > 0) continue
            if (!request.emitted) {
                request.emitted = true
                for (prefix in request.prefixes) cache[prefix] = Unit
                request.onFirstToken(now)
            }
            if (--request.tokensLeft <= 0) {
                running.remove(request)
                request.onEnd(now)
            }
        }
        step()
    }

    companion object {
        const val SLOTS = 16

        /** 128,000 tokens. */
        const val CACHE_BLOCKS = 2_000
        private const val CHUNK_BLOCKS = 8
        private const val STEP_MICROS = 18_000.0
        private const val SEQUENCE_MICROS = 500.0
        private const val BLOCK_MICROS = 3_000.0
    }
}
