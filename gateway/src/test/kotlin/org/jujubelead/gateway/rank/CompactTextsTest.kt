package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.MapPlanner
import org.jujubelead.core.route.ExpertLayout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class CompactTextsTest {
    private val layout = ExpertLayout(sets = 8, experts = 252, placesPerRank = 5, sparePerRank = 2, expertShare = 0.85)

    /** Guards against ranks that prepare another map than the one that was planned. */
    @Test
    fun `a map is read as it was written`() {
        val map = MapPlanner.initialMap(layout, ranks = 63)
        expectThat(decodeMap(encodeMap(map))).isEqualTo(map)
        val large = MapPlanner.initialMap(layout.copy(experts = 3_000), ranks = 5)
        expectThat(decodeMap(encodeMap(large))).isEqualTo(large)
    }

    /** Guards against maps that take a second to reach all ranks of the largest group over a small link. */
    @Test
    fun `a map of the largest group fits into seven kilobytes`() {
        expectThat(encodeMap(MapPlanner.initialMap(layout, ranks = 63)).length).isLessThan(7_000)
    }

    /** Guards against a plan for shares that no rank counted. */
    @Test
    fun `counts keep their shares`() {
        expectThat(CompactCounts.of(listOf(0, 1, 200)).counts()).isEqualTo(listOf(0, 1, 200))
        expectThat(CompactCounts.of(emptyList()).counts()).isEqualTo(emptyList())
        val read = CompactCounts.of(listOf(5_100, 2_550, 0)).counts()
        expectThat(read).isEqualTo(listOf(5_100, 2_560, 0))
    }
}
