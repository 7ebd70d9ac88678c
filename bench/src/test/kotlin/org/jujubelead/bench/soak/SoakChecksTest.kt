package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.Execution
import org.jujubelead.platform.standins.SimulatedReplica
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against checks of the soak that see nothing: each is shown a history that breaks its promise, and no other. */
class SoakChecksTest {
    private val second = 1_000_000_000L
    private val calmFrom = 20 * second

    private fun call(
        id: String,
        path: String = "/once/",
        key: String = Deployment.STEADY_KEY,
        sentAt: Long = calmFrom + 6 * second,
        end: CallEnd = CallEnd.Answer(200, "answer of $id", whole = true),
    ) = Call(id, path, key, gateway = 0, life = 1, sentAt = sentAt, endedAt = sentAt + second / 10, end = end)

    private fun run(id: String) = Execution(id, "/once/x", "steady", atNanos = 0)

    private fun history(
        calls: List<Call>,
        runs: List<Execution> = emptyList(),
        arrivals: Map<String, List<Long>> = emptyMap(),
        faults: List<FaultRecord> = emptyList(),
        mixedPasses: Int = 0,
        heldMillis: Long = 0,
    ) = SoakHistory(
        calls = calls + List(20) { call("good-$it") },
        runs = runs,
        arrivals = arrivals,
        faults = faults,
        revokedAt = 5 * second,
        routeAddedAt = 5 * second,
        mixedPasses = mixedPasses,
        heldMillis = heldMillis,
        calmFrom = calmFrom,
    )

    private fun promises(history: SoakHistory) = check(history).map { it.promise }.toSet()

    @Test
    fun `a history that keeps all promises has no violation`() {
        val events = (1..SimulatedReplica.EVENTS).joinToString("") { "id: $it\ndata: event $it of s\n\n" }
        val calls = listOf(
            call("s", path = "/stream/", end = CallEnd.Answer(200, events, whole = true)),
            call("refused", end = CallEnd.Answer(503, "", whole = true)),
        )
        expectThat(check(history(calls, runs = listOf(run("good-1"))))).isEmpty()
    }

    @Test
    fun `an answer of another request, and a stream with a gap, are seen`() {
        expectThat(promises(history(listOf(call("a", end = CallEnd.Answer(200, "answer of b", true))))))
            .isEqualTo(setOf("whole answers"))
        val gap = "id: 1\ndata: event 1 of s\n\nid: 3\ndata: event 3 of s\n\n"
        expectThat(promises(history(listOf(call("s", path = "/stream/", end = CallEnd.Answer(200, gap, false))))))
            .isEqualTo(setOf("whole answers"))
    }

    @Test
    fun `a second run, and a run after a refusal, are seen`() {
        expectThat(
            promises(history(listOf(call("a")), runs = listOf(run("a"), run("a")))),
        ).isEqualTo(setOf("at most once"))
        val refused = call("r", end = CallEnd.Answer(503, "", whole = true))
        expectThat(promises(history(listOf(refused), runs = listOf(run("r"))))).isEqualTo(setOf("not run"))
    }

    @Test
    fun `a run with a revoked key is seen after the bound and not before`() {
        val early = call("e", key = Deployment.REVOKED_KEY, sentAt = 9 * second)
        expectThat(check(history(listOf(early), runs = listOf(run("e"))))).isEmpty()
        val late = call("l", key = Deployment.REVOKED_KEY, sentAt = 11 * second)
        expectThat(promises(history(listOf(late), runs = listOf(run("l"))))).isEqualTo(setOf("revocation"))
    }

    @Test
    fun `a cut request is seen unless its gateway had a fault that cuts`() {
        val cut = call("c", sentAt = 8 * second, end = CallEnd.Closed)
        expectThat(promises(history(listOf(cut), runs = listOf(run("c"))))).isEqualTo(setOf("nothing cut"))
        val stop = FaultRecord("gateway stopped", 0, 7 * second, 9 * second, excusesCuts = false)
        expectThat(
            promises(history(listOf(cut), listOf(run("c")), faults = listOf(stop))),
        ).isEqualTo(setOf("nothing cut"))
        val kill = FaultRecord("gateway killed", 0, 7 * second, 9 * second, excusesCuts = true)
        expectThat(check(history(listOf(cut), listOf(run("c")), faults = listOf(kill)))).isEmpty()
    }

    @Test
    fun `a route that is denied after it was served, and one that never comes, are seen`() {
        val served = call("a1", path = "/added/", sentAt = 8 * second)
        val denied = call("a2", path = "/added/", sentAt = 9 * second, end = CallEnd.Answer(404, "", true))
        expectThat(promises(history(listOf(served, denied)))).isEqualTo(setOf("configuration never back"))
        val late = call("a3", path = "/added/", sentAt = calmFrom + 3 * second, end = CallEnd.Answer(404, "", true))
        expectThat(promises(history(listOf(late)))).isEqualTo(setOf("configuration in force"))
    }

    @Test
    fun `mixed passes and a group that stays held are seen`() {
        expectThat(promises(history(emptyList(), mixedPasses = 1))).isEqualTo(setOf("one map"))
        expectThat(promises(history(emptyList(), heldMillis = 2_000))).isEqualTo(setOf("one map"))
    }

    @Test
    fun `too many repeats, and requests that fail after the faults, are seen`() {
        val arrivals = mapOf("a" to List(200) { 8 * second + it })
        expectThat(promises(history(emptyList(), arrivals = arrivals))).isEqualTo(setOf("retry budget"))
        val failing = List(10) { call("f$it", end = CallEnd.Answer(502, "", true)) }
        expectThat(promises(history(failing))).isEqualTo(setOf("recovery"))
    }
}
