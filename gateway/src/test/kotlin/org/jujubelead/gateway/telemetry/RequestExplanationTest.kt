package org.jujubelead.gateway.telemetry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class RequestExplanationTest {
    private fun line(time: Long, instance: String, event: String, rest: String) =
        """{"time":$time,"instance":"$instance","code":"JJ-0","event":"$event",$rest}"""

    private val lines = listOf(
        line(9_000, "gateway-1", "REQUEST_REFUSED", """"request":"r1","reason":"outage","millis":3"""),
        "  12.3 gateway-1 " + line(8_999, "gateway-1", "ATTEMPT_ENDED", """"request":"r1","end":"replica-full""""),
        line(8_500, "agent-7", "RANKS_CHANGED", """"ranks":42,"complete":false"""),
        line(2_000, "agent-7", "RANKS_CHANGED", """"ranks":63,"complete":true"""),
        line(9_001, "gateway-1", "REQUEST_ANSWERED", """"request":"r2","millis":5"""),
        """{"time":9000,"instance":"gateway-1","code":"JJ-62""",
        "a line of another program",
    )

    private val requests = RequestExplanation(lines.asSequence())

    /**
     * Guards against an explanation without the cause of the refusal: the group had lost ranks half a second before.
     */
    @Test
    fun `a refusal is shown with its attempts and the state changes around it`() {
        val explanation = requests.explain("r1")
        expectThat(explanation).isNotNull().hasSize(5)
        val text = checkNotNull(explanation).map { it.replace(Regex(" +"), " ").trim() }
        expectThat(text).isEqualTo(
            listOf(
                "request r1 at gateway-1, times relative to its arrival",
                "+2 ms gateway-1 ATTEMPT_ENDED end=replica-full",
                "+3 ms gateway-1 REQUEST_REFUSED reason=outage millis=3",
                "state changes of processes from 2s before to 2s after it",
                "-497 ms agent-7 RANKS_CHANGED ranks=42 complete=false",
            ),
        )
    }

    /** Guards against an explanation of a request that no log line contains. */
    @Test
    fun `an unknown request has no explanation`() {
        expectThat(requests.explain("r9")).isNull()
    }
}
