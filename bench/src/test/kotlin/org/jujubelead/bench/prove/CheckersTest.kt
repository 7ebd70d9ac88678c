package org.jujubelead.bench.prove

import org.jujubelead.standins.AnswerText
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty

class CheckersTest {
    private val whole = AnswerText(prompt = promptOf("s"), seed = 3).tokens(40).joinToString("")
    private val chat = CallRecord(
        subject = "s",
        kind = CallKind.CHAT_STREAM,
        entry = "e",
        startMillis = 1_000,
        endMillis = 2_000,
        seed = 3,
        maxTokens = 40,
        status = 200,
        complete = true,
        text = whole,
    )
    private val refused = chat.copy(status = 503, complete = false, text = "", outcome = "not-run")
    private val post = Execution(target = "t", subject = "s", idempotent = false, atMillis = 1_500)
    private val stop = StopRecord("t", "agent", StopMethod.SIGTERM, atMillis = 1_500, exitCode = 0)

    private fun calls(vararg calls: CallRecord) = RunHistory(seed = 1, calls = calls.toList())

    /** Guards against a checker that accepts another call's answer, a short one, or a gap. */
    @Test
    fun `P2 finds short, foreign and gappy answers`() {
        expectThat(checkWholeAnswers(calls(chat))).isEmpty()
        expectThat(checkWholeAnswers(calls(chat.copy(complete = false, text = whole.take(20))))).isEmpty()
        expectThat(checkWholeAnswers(calls(refused))).isEmpty()
        expectThat(checkWholeAnswers(calls(chat.copy(text = whole.take(20))))).hasSize(1)
        expectThat(checkWholeAnswers(calls(chat.copy(seed = 4)))).hasSize(1)
        expectThat(checkWholeAnswers(calls(chat.copy(complete = false, text = whole.drop(9))))).hasSize(1)
        expectThat(checkWholeAnswers(calls(chat.copy(kind = CallKind.POST, text = "other")))).hasSize(1)
        val part = chat.copy(kind = CallKind.CHAT_WHOLE, complete = false, text = whole.take(20))
        expectThat(checkWholeAnswers(calls(part))).hasSize(1)
    }

    /** Guards against a checker that accepts an execution after the answer, or counts a keyed repeat that ran. */
    @Test
    fun `P3 finds executions of calls answered not-run`() {
        val late = post.copy(atMillis = 9_000)
        expectThat(checkNotRun(calls(refused))).isEmpty()
        expectThat(checkNotRun(calls(refused).copy(executions = listOf(late)))).hasSize(1)
        expectThat(checkNotRun(calls(refused, chat).copy(executions = listOf(post)))).isEmpty()
        expectThat(checkNotRun(calls(chat.copy(status = 504, outcome = "unknown")).copy(executions = listOf(late))))
            .isEmpty()
    }

    /** Guards against a checker that accepts a doubled action, or refuses a repeated lookup. */
    @Test
    fun `P4 finds actions that ran twice`() {
        val lookup = post.copy(idempotent = true)
        expectThat(checkAtMostOnce(RunHistory(seed = 1, executions = listOf(post, lookup, lookup)))).isEmpty()
        val again = post.copy(target = "u", atMillis = 8_000)
        expectThat(checkAtMostOnce(RunHistory(seed = 1, executions = listOf(post, again)))).hasSize(1)
    }

    /** Guards against a checker without a bound, or one that counts the work of the process that came back. */
    @Test
    fun `P5 finds work that starts after the bound`() {
        val history = RunHistory(seed = 1, stops = listOf(stop.copy(returnedMillis = 9_000)))
        expectThat(checkLeaving(history.copy(executions = listOf(post.copy(atMillis = 4_500))))).isEmpty()
        expectThat(checkLeaving(history.copy(executions = listOf(post.copy(atMillis = 9_500))))).isEmpty()
        expectThat(checkLeaving(history.copy(executions = listOf(post.copy(atMillis = 4_501))))).hasSize(1)
    }

    /**
     * Guards against a checker that accepts a cut call or a killed process, or counts calls refused before they ran.
     */
    @Test
    fun `P6 finds calls that a planned stop cut`() {
        fun history(call: CallRecord) = calls(call).copy(stops = listOf(stop))
        expectThat(checkPlannedStops(history(chat))).isEmpty()
        expectThat(checkPlannedStops(history(refused))).isEmpty()
        expectThat(checkPlannedStops(history(chat.copy(complete = false)))).hasSize(1)
        expectThat(checkPlannedStops(history(chat.copy(status = 502, outcome = "unknown")))).hasSize(1)
        expectThat(checkPlannedStops(history(chat.copy(complete = false, startMillis = 1_600)))).hasSize(1)
        expectThat(checkPlannedStops(history(chat.copy(complete = false, endMillis = 1_400)))).isEmpty()
        expectThat(checkPlannedStops(calls(chat).copy(stops = listOf(stop.copy(exitCode = null))))).hasSize(1)
        expectThat(checkPlannedStops(calls(chat).copy(stops = listOf(stop.copy(exitCode = 3))))).hasSize(1)
    }

    /** Guards against a checker that accepts a late, reverted, doubled or lost revision, or ignores an outage. */
    @Test
    fun `P7 finds late, reverted, doubled and lost revisions`() {
        val change = AcceptedRecord(revision = 2, atMillis = 1_000, field = "f", value = "7")
        val seen = RevisionRecord(instance = "e", life = 1, atMillis = 4_900, revision = 2)
        val good = RunHistory(
            seed = 1,
            accepted = listOf(change),
            revisions = listOf(seen.copy(atMillis = 1_500, revision = 1), seen),
            finalValues = mapOf("f" to "7"),
        )
        expectThat(checkSettings(good)).isEmpty()
        val late = good.copy(revisions = listOf(seen.copy(atMillis = 5_001, revision = 1)))
        expectThat(checkSettings(late)).hasSize(1)
        expectThat(checkSettings(late.copy(exemptions = listOf(Exemption("*", 900, 2_000))))).isEmpty()
        expectThat(checkSettings(late.copy(exemptions = listOf(Exemption("other", 900, 2_000))))).hasSize(1)
        expectThat(
            checkSettings(good.copy(revisions = listOf(seen, seen.copy(atMillis = 4_950, revision = 1)))),
        ).hasSize(1)
        expectThat(checkSettings(good.copy(accepted = listOf(change, change)))).hasSize(1)
        expectThat(checkSettings(good.copy(finalValues = mapOf("f" to "6")))).hasSize(1)
    }
}
