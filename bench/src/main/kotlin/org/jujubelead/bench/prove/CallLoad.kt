/** A steady load of mixed calls on all entries, drawn from a seed. */
package org.jujubelead.bench.prove

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ThreadLocalRandom
import kotlin.random.Random

private const val MILLIS_PER_SECOND = 1_000L
private const val KEYED_REPEATS = 3
private const val REPEAT_GAP_MS = 300L
private val TOKENS = 5..60
private val DEADLINES_MS = 2_000L..4_000L

/** What kinds of calls, how many a second, and how long. */
internal data class LoadProfile(
    val callsPerSecond: Int = 40,
    val tokens: IntRange = TOKENS,
    val deadlineMs: LongRange = DEADLINES_MS,
    val kinds: List<CallKind> = CallKind.entries,
)

/** The load; [run] names the calls, so that no two runs share a subject. */
internal class CallLoad(
    private val caller: Caller,
    private val entries: List<Member>,
    private val run: String,
    seed: Long,
    private val profile: LoadProfile,
) {
    private val random = Random(seed)
    private val records = ConcurrentLinkedQueue<CallRecord>()
    private var count = 0

    /** All calls that have ended. */
    val calls: List<CallRecord> get() = records.toList()

    /** Starts calls until the returned job is cancelled; started calls go on in [calls]. */
    fun start(scheduler: CoroutineScope, calls: CoroutineScope): Job = scheduler.launch {
        while (isActive) {
            val plan = plan()
            calls.launch { if (plan.kind == CallKind.KEYED_POST) repeatKeyed(plan) else records += caller.call(plan) }
            delay(MILLIS_PER_SECOND / profile.callsPerSecond)
        }
    }

    private fun plan(): PlannedCall = PlannedCall(
        subject = "$run-${count++}",
        kind = profile.kinds.random(random),
        entry = entries.random(random),
        seed = random.nextLong(0, Int.MAX_VALUE.toLong()),
        maxTokens = profile.tokens.random(random),
        deadlineMs = profile.deadlineMs.random(random),
    )

    /** A caller with a key repeats its call, through any entry, until it has an answer. */
    private suspend fun repeatKeyed(plan: PlannedCall) {
        repeat(KEYED_REPEATS) {
            val record = caller.call(plan.copy(entry = entries[ThreadLocalRandom.current().nextInt(entries.size)]))
            records += record
            if (record.status == Http.OK) return
            delay(REPEAT_GAP_MS)
        }
    }
}
