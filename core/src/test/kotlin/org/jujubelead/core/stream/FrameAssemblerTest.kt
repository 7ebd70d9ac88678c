package org.jujubelead.core.stream

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.ids.AttemptId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class FrameAssemblerTest {
    private val attempt = AttemptId("a")

    /** Guards against accepting a truncated answer as complete. */
    @Test
    fun `an end frame that counts more frames than arrived is a gap`() {
        val (state, _) = FrameAssembler(attempt).accept(attempt, 0)
        expectThat(state.acceptEnd(attempt, 2).second).isEqualTo(FrameVerdict.Gap(expected = 1))
        expectThat(state.acceptEnd(attempt, 1).second).isEqualTo(FrameVerdict.Complete)
    }

    /** Guards against frames of an earlier attempt in the answer of a later one. */
    @Test
    fun `frames of another attempt are dropped`() {
        expectThat(FrameAssembler(attempt).accept(AttemptId("b"), 0).second)
            .isEqualTo(FrameVerdict.Drop(DropReason.OTHER_ATTEMPT))
        expectThat(FrameAssembler(attempt).acceptEnd(AttemptId("b"), 0).second)
            .isEqualTo(FrameVerdict.Drop(DropReason.OTHER_ATTEMPT))
    }

    /** Guards against duplicated, skipped or reordered frames for any order of arrival. */
    @Test
    fun `delivered frames are a contiguous sequence from zero`() = runTest {
        checkAll(Arb.list(Arb.int(0..12), 0..60)) { arrivals ->
            var state = FrameAssembler(attempt)
            val delivered = mutableListOf<Int>()
            arrivals.forEach { sequence ->
                val (next, verdict) = state.accept(attempt, sequence.toLong())
                state = next
                if (verdict == FrameVerdict.Deliver) delivered += sequence
            }
            expectThat(delivered).isEqualTo(MutableList(delivered.size) { it })
            expectThat(delivered.size).isLessThanOrEqualTo(13)
        }
    }
}
