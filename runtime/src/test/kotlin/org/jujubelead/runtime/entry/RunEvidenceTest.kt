package org.jujubelead.runtime.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RunEvidenceTest {
    /** Guards against `unknown` for a request that was never sent. */
    @Test
    fun `nothing sent is not run`() {
        expectThat(RunEvidence().notRun).isTrue()
    }

    /** Guards against `not-run` while one of several attempts may have run. */
    @Test
    fun `every attempt that was sent needs its own proof`() {
        val evidence = RunEvidence()
        repeat(2) { evidence.sent() }
        evidence.provedNotRun()
        expectThat(evidence.notRun).isFalse()
        evidence.provedNotRun()
        expectThat(evidence.notRun).isTrue()
    }
}
