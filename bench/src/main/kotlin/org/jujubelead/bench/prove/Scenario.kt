/** One kind of run on a running system. */
package org.jujubelead.bench.prove

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

private const val SERVING_LIMIT_MS = 30_000L
private const val SERVING_POLL_MS = 100L

/** A system and what runs on it share. */
internal class RunContext(val fleet: Fleet) {
    val caller = Caller()
    val executions = Executions(fleet)
}

/** Kind of run. */
internal interface Scenario {
    /** Promises that the run puts to the test. */
    val promises: List<Promise>

    /** Makes one run; [name] is unique and begins the subject of each of its calls. */
    suspend fun run(context: RunContext, name: String, seed: Long): RunHistory
}

/** Runs [actions] under a load; returns the calls after the last one has ended. */
internal suspend fun underLoad(
    context: RunContext,
    name: String,
    seed: Long,
    profile: LoadProfile,
    actions: suspend CoroutineScope.() -> Unit,
): List<CallRecord> = withContext(Dispatchers.Default) {
    val load = CallLoad(context.caller, context.fleet.entries, name, seed, profile)
    coroutineScope {
        val calls = this
        coroutineScope {
            val generator = load.start(scheduler = this, calls = calls)
            actions()
            generator.cancel()
        }
    }
    load.calls
}

/** Waits until each entry answers a model request and a lookup again. */
internal suspend fun awaitServing(context: RunContext, name: String) {
    val end = System.currentTimeMillis() + SERVING_LIMIT_MS
    context.fleet.entries.forEach { entry ->
        listOf(CallKind.CHAT_WHOLE, CallKind.GET).forEach { kind ->
            awaitServing(context, "$name-serving", entry, kind, end)
        }
    }
}

private suspend fun awaitServing(context: RunContext, name: String, entry: Member, kind: CallKind, end: Long) {
    var count = 0
    while (true) {
        val subject = "$name-${entry.instance}-$kind-${count++}"
        val plan = PlannedCall(subject, kind, entry, seed = 1, maxTokens = 1, deadlineMs = 1_000)
        val record = context.caller.call(plan)
        if (record.status == Http.OK) return
        check(System.currentTimeMillis() < end) { "${entry.instance} does not serve $kind again: ${record.error}" }
        delay(SERVING_POLL_MS)
    }
}

private const val BEFORE_FAULTS_MS = 300L
private const val LARGEST_GAP_MS = 600L
private const val SETTLE_MS = 700L
private const val FAULTS_PER_RUN = 3

/** Mixed calls while paths, processes and the platform fail. */
internal class FaultScenario : Scenario {
    override val promises = listOf(Promise.WHOLE_ANSWER, Promise.NOT_RUN, Promise.AT_MOST_ONCE)

    override suspend fun run(context: RunContext, name: String, seed: Long): RunHistory {
        val random = Random(seed)
        val faults = ArrayList<FaultRecord>()
        val injector = FaultInjector(context.fleet, random) { faults += FaultRecord(System.currentTimeMillis(), it) }
        // Each kind has its turn, so that few runs cover all of them.
        val kinds =
            List(FAULTS_PER_RUN) { FaultKind.entries[((seed + it * FAULT_STRIDE) % FaultKind.entries.size).toInt()] }
        val calls = underLoad(context, name, seed, LoadProfile()) {
            delay(BEFORE_FAULTS_MS)
            coroutineScope {
                kinds.forEach { kind ->
                    launch { injector.inject(kind) }
                    delay(random.nextLong(LARGEST_GAP_MS))
                }
            }
        }
        injector.heal()
        awaitServing(context, name)
        delay(SETTLE_MS)
        return RunHistory(seed = seed, calls = calls, executions = context.executions.next(), faults = faults)
    }

    private companion object {
        /** Has no factor in common with the number of kinds. */
        const val FAULT_STRIDE = 5
    }
}
