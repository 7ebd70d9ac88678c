package org.jujubelead.core.admission

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.membership.seconds
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class AdmissionPolicyTest {
    private val small = WorkspaceId("small")
    private val greedy = WorkspaceId("greedy")
    private val policy = AdmissionPolicy()

    private fun decide(state: AdmissionState, workspace: WorkspaceId, at: Timestamp = seconds(0)) =
        policy.decide(AdmissionRequest(workspace, at + 690.milliseconds), state, at)

    /** Guards against sending a request whose answer would be late. */
    @Test
    fun `a request whose deadline cannot be met is refused`() {
        val decision = policy.decide(
            AdmissionRequest(small, seconds(1) + 100.milliseconds),
            AdmissionState(8) { WorkspaceLimits() },
            seconds(1),
        )
        expectThat(decision).isA<AdmissionDecision.Refuse>().get { reason }.isEqualTo(AdmissionRefusal.DEADLINE)
    }

    @Test
    fun `a request that would wait too long is refused with a retry time`() {
        val state = AdmissionState(10) { WorkspaceLimits() }
        repeat(10) { state.started(greedy) }
        repeat(4) { i ->
            state.finished(greedy, seconds(i * 0.5))
            state.started(greedy)
        }
        expectThat(decide(state, greedy, seconds(2))).isA<AdmissionDecision.Refuse>().and {
            get { reason }.isEqualTo(AdmissionRefusal.DEADLINE)
            get { retryAt }.isGreaterThan(seconds(2))
        }
    }

    @Test
    fun `a workspace that has reached its limit of requests in progress is refused`() {
        val state = AdmissionState(100) { WorkspaceLimits(maxInProgress = 3) }
        repeat(3) { state.started(small) }
        expectThat(decide(state, small)).isA<AdmissionDecision.Refuse>()
            .get { reason }.isEqualTo(AdmissionRefusal.WORKSPACE_LIMIT)
    }

    /** Guards against idle capacity that is reserved for a workspace that does not use it. */
    @Test
    fun `a workspace may use the unused share of others`() {
        val state = AdmissionState(100) { WorkspaceLimits() }
        state.started(small)
        repeat(99) {
            expectThat(decide(state, greedy)).isEqualTo(AdmissionDecision.Admit)
            state.started(greedy)
        }
    }

    /** Guards against delaying requests of a workspace within its share because another one uses all capacity. */
    @Test
    fun `the reserve is withheld from a workspace above its fair share`() {
        expectThat(maxHeldByGreedy(AdmissionPolicy())).isEqualTo(85)
        expectThat(maxHeldByGreedy(AdmissionPolicy(reserve = 0.0))).isEqualTo(100)
    }

    /** Maximum number of requests in progress when `greedy` offers three times the capacity; requests take 1 s. */
    private fun maxHeldByGreedy(policy: AdmissionPolicy): Int {
        val state = AdmissionState(100) { WorkspaceLimits() }
        val ends = ArrayDeque<Double>()
        state.started(small)
        var maxInProgress = 0
        for (i in 1..3000) {
            val now = i / 300.0
            while (ends.isNotEmpty() && ends.first() <= now) {
                ends.removeFirst()
                state.finished(greedy, seconds(now))
            }
            val request = AdmissionRequest(greedy, seconds(now) + 690.milliseconds)
            if (policy.decide(request, state, seconds(now)) == AdmissionDecision.Admit) {
                state.started(greedy)
                ends += now + 1
            }
            if (now > 5) maxInProgress = maxOf(maxInProgress, state.inProgress)
        }
        return maxInProgress
    }

    /** Guards against one workspace starving another, for random capacities and weights. */
    @Test
    fun `each workspace with queued requests gets its share by weight`(): Unit = runBlocking {
        checkAll(200, Arb.int(20..200), Arb.int(1..4), Arb.long()) { capacity, weight, seed ->
            val state = AdmissionState(capacity) { WorkspaceLimits(if (it == small) weight.toDouble() else 1.0) }
            val served = run(state, seed)
            val share = weight / (weight + 1.0)
            expectThat(served).isGreaterThan(share * 0.9).isLessThan(share * 1.1)
        }
    }

    @Test
    fun `the share check fails if the next workspace is chosen at random`() {
        val state = AdmissionState(100) { WorkspaceLimits(if (it == small) 4.0 else 1.0) }
        expectThat(run(state, seed = 1, fair = false)).isLessThan(0.8 * 0.9)
    }

    /** Average share of `small` in the requests in progress while both workspaces have queued requests. */
    private fun run(state: AdmissionState, seed: Long, fair: Boolean = true): Double {
        val random = Random(seed)
        repeat(5) { listOf(small, greedy).forEach(state::queued) }
        var own = 0.0
        val steps = state.capacity * 40
        repeat(steps) { step ->
            while (state.inProgress < state.capacity) {
                val next = if (fair) {
                    state.next(
                        policy,
                        seconds(step * 0.01),
                    ) ?: break
                } else {
                    listOf(small, greedy).random(random)
                }
                state.dequeued(next)
                state.queued(next)
                state.started(next)
            }
            if (step > steps / 2) own += state.inProgress(small).toDouble() / state.inProgress
            val ended = if (random.nextInt(state.inProgress) < state.inProgress(small)) small else greedy
            state.finished(ended, seconds(step * 0.01))
        }
        return own / (steps / 2 - 1)
    }
}
