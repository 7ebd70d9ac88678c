package org.jujubelead.bench.soak

import org.jujubelead.platform.standins.AnswerEnd
import org.jujubelead.platform.standins.Execution
import org.jujubelead.platform.standins.GivenAnswer
import org.jujubelead.platform.standins.SimulatedReplica
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.File

/** Guards against soak checks that miss violations: each gets a history that violates only its own guarantee. */
class SoakChecksTest {
    private val second = 1_000_000_000L
    private val faultEnd = 20 * second

    private fun success(id: String, body: String = "answer of $id", complete: Boolean = true) =
        Outcome.Answer(200, body, complete, seal = "seal of $id")

    private fun call(
        id: String,
        path: String = "/once/",
        key: String = Deployment.VALID_KEY,
        sentAt: Long = faultEnd + 6 * second,
        end: Outcome = success(id),
        deadly: Boolean = false,
    ) = Call(id, path, key, gateway = 0, incarnation = 1, sentAt, endedAt = sentAt + second / 10, end, deadly)

    /** What the replica gave if the caller got it unchanged. */
    private fun given(call: Call, end: AnswerEnd = AnswerEnd.WHOLE): GivenAnswer? =
        (call.end as? Outcome.Answer)?.let { GivenAnswer(call.id, it.status, it.seal, it.body, end) }

    private fun run(id: String) = Execution(id, "/once/x", "steady", atNanos = 0)

    private fun history(
        calls: List<Call>,
        runs: List<Execution> = emptyList(),
        arrivals: Map<String, List<Long>> = emptyMap(),
        crashes: List<Long> = emptyList(),
        faults: List<FaultRecord> = emptyList(),
        mixedPasses: Int = 0,
        heldMillis: Long = 0,
        answers: List<GivenAnswer> = calls.mapNotNull { given(it) },
        loopDelays: List<LoopDelay> = emptyList(),
    ) = SoakHistory(
        calls = calls + good,
        runs = runs,
        arrivals = arrivals,
        answers = (answers + good.mapNotNull { given(it) }).groupBy { it.request },
        crashes = crashes,
        faults = faults,
        revokedAt = 5 * second,
        routeAddedAt = 5 * second,
        mixedPasses = mixedPasses,
        heldMillis = heldMillis,
        faultEnd = faultEnd,
        loopDelays = loopDelays,
    )

    private val good = List(20) { call("good-$it") }

    private fun promises(history: SoakHistory) = findViolations(history).map { it.promise }.toSet()

    private fun delay(loop: String, millis: Long, atMillis: Long = 10_000) =
        LoopDelay("gateway-0", loop, atMillis, millis)

    @Test
    fun `an event loop that is busy for long is found, unless the whole process stood still`() {
        val busy = history(emptyList(), loopDelays = listOf(delay("data", 600), delay("control", 600, atMillis = 1)))
        expectThat(promises(busy)).isEqualTo(setOf("answered on time"))
        val suspended =
            history(emptyList(), loopDelays = listOf(delay("data", 600), delay("control", 580, atMillis = 10_050)))
        expectThat(promises(suspended)).isEmpty()
    }

    private fun line(time: Long, event: String, more: String = "") = """{"time":$time,"event":"$event"$more}"""

    private fun delayLine(time: Long) = line(time, "LOOP_DELAYED", ""","loop":"data","millis":700""")

    /** Guards against a gateway that is taken for busy because it was suspended and then killed. */
    @Test
    fun `a delay counts unless its process ended right after it`(@TempDir directory: File) {
        val log = listOf(
            line(1_000, "STARTED"),
            delayLine(9_000),
            line(9_250, "REQUEST_ANSWERED"),
            delayLine(12_000),
            line(12_100, "REQUEST_ANSWERED"),
            line(15_000, "STARTED"),
        )
        File(directory, "gateway-0.log").writeText(log.joinToString("\n"))
        expectThat(readLoopDelays(directory).map { it.atMillis }).isEqualTo(listOf(9_000L))
    }

    @Test
    fun `a history without violations passes all checks`() {
        val events = (1..SimulatedReplica.EVENTS).joinToString("") { "id: $it\ndata: event $it of s\n\n" }
        val calls = listOf(
            call("s", path = "/stream/", end = success("s", events)),
            call("refused", end = Outcome.Answer(503, "", complete = true)),
        )
        expectThat(findViolations(history(calls, runs = listOf(run("good-1"))))).isEmpty()
    }

    @Test
    fun `detects a response to another request and a gap in a stream`() {
        expectThat(promises(history(listOf(call("a", end = success("a", "answer of b"))))))
            .isEqualTo(setOf("whole answers"))
        val gap = "id: 1\ndata: event 1 of s\n\nid: 3\ndata: event 3 of s\n\n"
        expectThat(promises(history(listOf(call("s", path = "/stream/", end = success("s", gap, complete = false))))))
            .isEqualTo(setOf("whole answers"))
    }

    @Test
    fun `detects a second execution and an execution after a refusal`() {
        expectThat(
            promises(history(listOf(call("a")), runs = listOf(run("a"), run("a")))),
        ).isEqualTo(setOf("at most once"))
        val refused = call("r", end = Outcome.Answer(503, "", complete = true))
        expectThat(promises(history(listOf(refused), runs = listOf(run("r"))))).isEqualTo(setOf("not run"))
    }

    @Test
    fun `detects an execution with a revoked key only after the revocation deadline`() {
        val early = call("e", key = Deployment.REVOKED_KEY, sentAt = 9 * second)
        expectThat(findViolations(history(listOf(early), runs = listOf(run("e"))))).isEmpty()
        val late = call("l", key = Deployment.REVOKED_KEY, sentAt = 11 * second)
        expectThat(promises(history(listOf(late), runs = listOf(run("l"))))).isEqualTo(setOf("revocation"))
    }

    @Test
    fun `detects an interrupted request unless a fault of its gateway may interrupt requests`() {
        val cut = call("c", sentAt = 8 * second, end = Outcome.Closed)
        expectThat(promises(history(listOf(cut), runs = listOf(run("c"))))).isEqualTo(setOf("nothing cut"))
        val stop = FaultRecord("gateway stopped", 0, 7 * second, 9 * second, interrupts = false)
        expectThat(
            promises(history(listOf(cut), listOf(run("c")), faults = listOf(stop))),
        ).isEqualTo(setOf("nothing cut"))
        val kill = FaultRecord("gateway killed", 0, 7 * second, 9 * second, interrupts = true)
        expectThat(findViolations(history(listOf(cut), listOf(run("c")), faults = listOf(kill)))).isEmpty()
    }

    @Test
    fun `detects a route that is denied after it was served or after recovery`() {
        val served = call("a1", path = "/added/", sentAt = 8 * second)
        val denied = call("a2", path = "/added/", sentAt = 9 * second, end = Outcome.Answer(404, "", true))
        expectThat(promises(history(listOf(served, denied)))).isEqualTo(setOf("configuration never back"))
        val late = call("a3", path = "/added/", sentAt = faultEnd + 3 * second, end = Outcome.Answer(404, "", true))
        expectThat(promises(history(listOf(late)))).isEqualTo(setOf("configuration in force"))
    }

    @Test
    fun `detects a route that is denied during faults longer than any proof may be old`() {
        val refused = call("a1", path = "/added/", sentAt = 11 * second, end = Outcome.Answer(503, "", true))
        expectThat(promises(history(listOf(refused)))).isEmpty()
        val denied = call("a2", path = "/added/", sentAt = 11 * second, end = Outcome.Answer(404, "", true))
        expectThat(promises(history(listOf(denied)))).isEqualTo(setOf("configuration in force"))
    }

    @Test
    fun `detects passes with mixed maps and a group that stays held`() {
        expectThat(promises(history(emptyList(), mixedPasses = 1))).isEqualTo(setOf("one map"))
        expectThat(promises(history(emptyList(), heldMillis = 2_000))).isEqualTo(setOf("one map"))
    }

    @Test
    fun `detects deadly prompts that reach replicas later than 3 s after the fifth crash`() {
        val calls = List(4) { call("d$it", end = Outcome.Answer(502, "", true), deadly = true) }
        fun arrivals(at: Long) = calls.associate { it.id to listOf(at) }
        val crashes = List(5) { (8 + it) * second }
        expectThat(promises(history(calls, arrivals = arrivals(16 * second), crashes = crashes)))
            .isEqualTo(setOf("deadly prompts"))
        expectThat(promises(history(calls, arrivals = arrivals(14 * second), crashes = crashes))).isEmpty()
        expectThat(promises(history(calls, arrivals = arrivals(16 * second), crashes = crashes.take(4)))).isEmpty()
    }

    @Test
    fun `detects too many retries and requests that fail after recovery`() {
        val arrivals = mapOf("a" to List(200) { 8 * second + it })
        expectThat(promises(history(emptyList(), arrivals = arrivals))).isEqualTo(setOf("retry budget"))
        val failing = List(10) { call("f$it", end = Outcome.Answer(502, "", true)) }
        expectThat(promises(history(failing))).isEqualTo(setOf("recovery"))
    }

    @Test
    fun `detects an answer with another status than its replica gave`() {
        for ((got, gave) in listOf(200 to 500, 500 to 200, 502 to 500)) {
            val call = call("a", end = success("a").copy(status = got))
            val answer = GivenAnswer("a", gave, "seal of a", "answer of a", AnswerEnd.WHOLE)
            expectThat(promises(history(listOf(call), answers = listOf(answer)))).isEqualTo(setOf("own status"))
        }
    }

    @Test
    fun `detects an answer that looks complete but was broken off or changed`() {
        for (status in listOf(200, 500)) {
            val call = call("a", end = success("a").copy(status = status))
            for (end in listOf(AnswerEnd.BROKEN_OFF, AnswerEnd.UNFINISHED)) {
                expectThat(promises(history(listOf(call), answers = listOfNotNull(given(call, end)))))
                    .isEqualTo(setOf("complete answers"))
            }
            val whole = GivenAnswer("a", status, "seal of a", "answer of a, and more", AnswerEnd.WHOLE)
            expectThat(promises(history(listOf(call), answers = listOf(whole))))
                .isEqualTo(setOf("complete answers"))
        }
    }

    @Test
    fun `detects a complete stream of which no replica ended the last part`() {
        val events = (1..SimulatedReplica.EVENTS).map { "id: $it\ndata: event $it of s\n\n" }
        val call = call("s", path = "/stream/", end = success("s", events.joinToString("")))
        val first = GivenAnswer("s", 200, "seal of s", events.joinToString(""), AnswerEnd.BROKEN_OFF)
        expectThat(promises(history(listOf(call), answers = listOf(first)))).isEqualTo(setOf("complete answers"))
        val rest = GivenAnswer("s", 200, "seal of the rest", events.drop(7).joinToString(""), AnswerEnd.WHOLE)
        expectThat(findViolations(history(listOf(call), answers = listOf(first, rest)))).isEmpty()
    }

    @Test
    fun `detects a success without a seal and a seal of another answer`() {
        val unsealed = call("a", end = success("a").copy(seal = null))
        expectThat(promises(history(listOf(unsealed)))).isEqualTo(setOf("sealed answers"))
        val foreign = call("a", end = success("a").copy(seal = "seal of b"))
        val answers = listOf(GivenAnswer("a", 200, "seal of a", "answer of a", AnswerEnd.WHOLE))
        expectThat(promises(history(listOf(foreign), answers = answers))).isEqualTo(setOf("sealed answers"))
        val own = call("a", end = Outcome.Answer(502, "", complete = true))
        expectThat(findViolations(history(listOf(own), answers = answers))).isEmpty()
    }

    @Test
    fun `excuses an interrupted stream that its replica broke off but no other answer`() {
        val end = success("c", "", complete = false)
        for ((path, promises) in listOf("/stream/" to emptySet(), "/once/" to setOf("nothing cut"))) {
            val cut = call("c", path, sentAt = 8 * second, end = end)
            val answers = listOfNotNull(given(cut, AnswerEnd.BROKEN_OFF))
            expectThat(promises(history(listOf(cut), listOf(run("c")), answers = answers))).isEqualTo(promises)
        }
    }
}
