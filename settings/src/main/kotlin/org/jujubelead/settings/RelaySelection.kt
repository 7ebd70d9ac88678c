/**
 * The topology of the settings distribution, a pure function of the instance list.
 *
 * In each zone, entries are ordered by rendezvous hashing. The first [RELAYS_PER_ZONE] are the relays, which watch the
 * key-value service. The other entries form a tree of levels: each entry subscribes to two entries of the level above,
 * and has at most [MAX_ENTRY_SUBSCRIBERS] entries as subscribers. Agents subscribe to two entries. In a zone with few
 * entries, all processes other than the relays subscribe to two relays.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState

public const val RELAYS_PER_ZONE: Int = 3

/** Upstreams per process. With two, the failure of one does not delay updates. */
public const val UPSTREAMS: Int = 2

/**
 * Maximum number of entries that subscribe to one entry. At maximum fleet size there are about 10 agents per entry with
 * two subscriptions each, so that an entry sends each change about 20 times. Without levels, a relay would send each
 * change 460 times.
 */
public const val MAX_ENTRY_SUBSCRIBERS: Int = 8

/** The topology for one instance list. */
public class RelaySelection(private val instances: Collection<InstanceRecord>) {
    private val entries: List<InstanceRecord> =
        instances.filter { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }
    private val byZone: Map<ZoneId, List<InstanceRecord>> =
        entries.groupBy { it.zone }.mapValues { (zone, members) -> ranked(zone.value, members) }

    private val digestPeers: List<InstanceRecord> = byZone.values.flatMap { preferNonRelays(it) }

    /** Returns all live entries. */
    public fun entries(): List<InstanceRecord> = entries

    /** Returns the entries to exchange digests with, in [zone] or in all zones. */
    public fun digestPeers(zone: ZoneId? = null): List<InstanceRecord> =
        if (zone == null) digestPeers else preferNonRelays(ranked(zone))

    public fun relays(zone: ZoneId): List<InstanceRecord> = ranked(zone).take(RELAYS_PER_ZONE)

    public fun isRelay(instance: InstanceRecord): Boolean = relays(instance.zone).any { it.id == instance.id }

    /** Returns the entries that [instance] subscribes to; empty for a relay. */
    public fun upstreams(instance: InstanceRecord): List<InstanceRecord> {
        val zone = ranked(instance.zone)
        if (zone.isEmpty()) return ranked(instance.id.value, entries).take(UPSTREAMS)
        val position = zone.indexOfFirst { it.id == instance.id }
        return when {
            position in 0 until RELAYS_PER_ZONE -> emptyList()
            position >= 0 -> levelAbove(position).take(UPSTREAMS).map { zone[it] }
            else -> upstreamsOfAgent(instance, preferNonRelays(zone))
        }
    }

    /**
     * Assigns agents to entries round-robin, so that all entries have almost the same number of agents. With hashing
     * per agent, the entry with the most agents had over 6 KB/s of traffic.
     */
    private fun upstreamsOfAgent(agent: InstanceRecord, entries: List<InstanceRecord>): List<InstanceRecord> {
        val agents = instances.filter { it.zone == agent.zone && it.role == InstanceRole.AGENT }
        val position = ranked(agent.zone.value, agents).indexOfFirst { it.id == agent.id }
        // An agent that is not listed yet selects its upstreams by hashing.
        if (position < 0) return ranked(agent.id.value, entries).take(UPSTREAMS)
        return List(minOf(UPSTREAMS, entries.size)) { entries[(position * UPSTREAMS + it) % entries.size] }
    }

    private fun ranked(zone: ZoneId): List<InstanceRecord> = byZone[zone].orEmpty()

    /**
     * Returns the entries of a zone that agents subscribe to and that receive digests. Relays already read the root
     * record and branches (about 5 KB/s at maximum fleet size), so they are excluded if there are enough other entries.
     */
    private fun preferNonRelays(zone: List<InstanceRecord>): List<InstanceRecord> =
        if (zone.size >=
            RELAYS_PER_ZONE * UPSTREAMS
        ) {
            zone.drop(RELAYS_PER_ZONE)
        } else {
            zone.take(RELAYS_PER_ZONE)
        }
}

/** Returns the positions in the level above [position], rotated to distribute subscribers evenly. */
private fun levelAbove(position: Int): List<Int> {
    var start = 0
    var size = RELAYS_PER_ZONE
    while (position >= start + size + size * MAX_ENTRY_SUBSCRIBERS / UPSTREAMS) {
        start += size
        size = size * MAX_ENTRY_SUBSCRIBERS / UPSTREAMS
    }
    val first = (position - start - size) % size
    return List(size) { start + (first + it) % size }
}

/** Orders [members] by rendezvous hashing with [key]; additions and removals keep the order of the others. */
internal fun ranked(key: String, members: Collection<InstanceRecord>): List<InstanceRecord> =
    members.sortedWith(compareByDescending<InstanceRecord> { score(key, it.id) }.thenBy { it.id.value })

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_1 = -49064778989728563L
private const val MIX_2 = -4265267296055464877L
private const val MIX_SHIFT = 33

/** 64-bit FNV-1a with the finalizer of MurmurHash3, without which similar ids would get similar scores. */
private fun score(key: String, id: InstanceId): ULong {
    val fnvHash = "$key/${id.value}".fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
    val first = (fnvHash xor (fnvHash ushr MIX_SHIFT)) * MIX_1
    val second = (first xor (first ushr MIX_SHIFT)) * MIX_2
    return (second xor (second ushr MIX_SHIFT)).toULong()
}
