package org.jujubelead.settings

import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRole
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class RelaySelectionTest {
    private val zone = ZoneId("zone-a")
    private val entries = List(117) { record("e$it", zone) }
    private val agents = List(575) { record("a$it", zone, InstanceRole.AGENT) }

    /** Guards against an entry that sends every change to hundreds of subscribers. */
    @Test
    fun `subscribers are distributed evenly over the entries of a zone`() {
        val selection = RelaySelection(entries + agents)
        val ofEntries = entries.flatMap { selection.upstreams(it) }.groupingBy { it.id }.eachCount()
        val ofAgents = agents.flatMap { selection.upstreams(it) }.groupingBy { it.id }.eachCount()
        expectThat(ofEntries.values.max()).isLessThanOrEqualTo(MAX_ENTRY_SUBSCRIBERS)
        expectThat(ofAgents.values.max()).isLessThanOrEqualTo(2 * agents.size / (entries.size - RELAYS_PER_ZONE) + 1)
        expectThat(agents.map { selection.upstreams(it).toSet() }).all { hasSize(2) }
    }

    /** Guards against a process that no chain of subscriptions connects to a relay. */
    @Test
    fun `every process is at most four subscriptions away from a relay`() {
        val selection = RelaySelection(entries + agents)
        var connected = selection.relays(zone).toSet()
        repeat(4) {
            connected = connected + (entries + agents).filter { p -> selection.upstreams(p).any { it in connected } }
        }
        expectThat(connected.size).isEqualTo(entries.size + agents.size)
    }

    /** Guards against processes in small zones that are not connected to two relays. */
    @Test
    fun `in a small zone all processes subscribe to two relays`() {
        val smallZone = entries.take(4) + agents.take(8)
        val selection = RelaySelection(smallZone)
        val relays = selection.relays(zone)
        expectThat(relays).hasSize(3)
        expectThat(smallZone.filter { it !in relays }.map { p -> selection.upstreams(p).count { it in relays } })
            .all { isEqualTo(2) }
        expectThat(relays.flatMap { selection.upstreams(it) }).isEmpty()
    }

    /** Guards against a selection that changes for other instances when one instance is added or removed. */
    @Test
    fun `removing an instance keeps the other relays`() {
        val before = RelaySelection(entries).relays(zone)
        val after = RelaySelection(entries - before[0]).relays(zone)
        expectThat(after.take(2)).isEqualTo(before.drop(1))
    }
}
