package org.jujubelead.runtime.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ExecutionEvidenceTest {
    /** Guards against the outcome `unknown` for a request that was never sent. */
    @Test
    fun `a request without a sent attempt has not run`() {
        expectThat(ExecutionEvidence().notRun).isTrue()
    }

    /** Guards against the outcome `not-run` while one of several attempts may have run. */
    @Test
    fun `every sent attempt must be confirmed as not run`() {
        val evidence = ExecutionEvidence()
        repeat(2) { evidence.recordSent() }
        evidence.recordNotRun()
        expectThat(evidence.notRun).isFalse()
        evidence.recordNotRun()
        expectThat(evidence.notRun).isTrue()
    }
}
