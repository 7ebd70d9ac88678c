package org.jujubelead.gateway.rank

import org.jujubelead.core.expertmap.ArmedMap
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.expertmap.initialMap
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.placement.ExpertPlacement
import org.jujubelead.core.route.ExpertLayout
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class CompactEncodingTest {
    private val layout =
        ExpertLayout(sets = 8, experts = 252, slotsPerRank = 5, spareSlotsPerRank = 2, expertShare = 0.85)

    /** Guards against ranks that prepare a different map than the planned one. */
    @Test
    fun `a map is decoded as it was encoded`() {
        val map = initialMap(layout.sets, layout.experts, ranks = 63)
        expectThat(decodeMap(encodeMap(map))).isEqualTo(map)
        val large = initialMap(layout.sets, experts = 3_000, ranks = 5)
        expectThat(decodeMap(encodeMap(large))).isEqualTo(large)
    }

    /** Guards against map changes that take a second to reach all ranks of a large group over a small link. */
    @Test
    fun `changes of the largest group's map fit into four kilobytes`() {
        val base = initialMap(layout.sets, layout.experts, ranks = 63)
        val next = base.map { set ->
            ExpertPlacement(set.ranks.mapIndexed { r, held -> (held.drop(1) + set.ranks[(r + 1) % 63][0]).sorted() })
        }
        val changes = encodeChanges(base, next)
        expectThat(changes.length).isLessThan(4_000)
        expectThat(applyChanges(base, changes)).isEqualTo(next)
    }

    /** Guards against a rank that computes a wrong map because it missed an earlier one. */
    @Test
    fun `changes without their base are not resolved`() {
        val cache = MapCache()
        val base = initialMap(layout.sets, layout.experts, ranks = 63)
        val changes = encodeChanges(base, base)
        expectThat(cache.resolve(PrepareOrder(version = 8, epoch = 1, base = 7, changes = changes))).isNull()
        cache.resolve(PrepareOrder(version = 7, epoch = 1, map = encodeMap(base)))
        expectThat(cache.resolve(PrepareOrder(version = 8, epoch = 1, base = 7, changes = changes))).isEqualTo(base)
        // The same version in another epoch is a different map.
        expectThat(cache.resolve(PrepareOrder(version = 9, epoch = 2, base = 7, changes = changes))).isNull()
    }

    /** Guards against a coordinator that acts on another state than the rank has. */
    @Test
    fun `a reading is decoded as it was encoded`() {
        val idle = RankObservation(
            group = GroupId(
                "",
            ),
            rank = 128, size = 129, epoch = 3, open = true, step = -1, map = MapVersion(0), prepared = null,
            armed = null, heldAt = null, slowdown = 2.25, running = 4, observedAt = Timestamp.ZERO,
        )
        val switching = idle.copy(
            open = false,
            step = 40_000_000_000,
            map = MapVersion(2_300_010_000),
            prepared = MapVersion(2_300_010_001),
            armed = ArmedMap(MapVersion(2_300_010_001), 40_000_000_007),
            heldAt = 40_000_000_007,
            slowdown = 1.0,
        )
        for (o in listOf(idle, switching)) {
            val text = rankJson.encodeToString(RankReading.serializer(), RankReading(-5, o))
            val read = rankJson.decodeFromString(RankReading.serializer(), text)
            expectThat(read.observation).isEqualTo(o)
            expectThat(read.readAtMicros).isEqualTo(-5)
        }
    }

    /** Guards against results of 129 ranks that queue for a fifth of a second on the coordinator's link. */
    @Test
    fun `a result of an order fits into a hundred bytes`() {
        val seen = RankObservation(
            group = GroupId(
                "g",
            ),
            rank = 128, size = 129, epoch = 3, open = true, step = 10_000, map = MapVersion(2_300_010_000),
            prepared = MapVersion(2_300_010_001), armed = ArmedMap(MapVersion(2_300_010_001), 10_004),
            heldAt = null, slowdown = 1.0, running = 4, observedAt = Timestamp.ZERO,
        )
        val result = OrderResult(202, RankReading(readAtMicros = 86_400_000_000, seen))
        expectThat(rankJson.encodeToString(OrderResult.serializer(), result).length).isLessThan(100)
    }

    /** Guards against a plan based on shares that no rank counted. */
    @Test
    fun `encoded counts keep their shares`() {
        expectThat(CompactCounts.of(listOf(0, 1, 200)).counts()).isEqualTo(listOf(0, 1, 200))
        expectThat(CompactCounts.of(emptyList()).counts()).isEqualTo(emptyList())
        val read = CompactCounts.of(listOf(5_100, 2_550, 0)).counts()
        expectThat(read).isEqualTo(listOf(5_100, 2_560, 0))
    }
}
