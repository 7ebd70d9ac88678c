/**
 * Who passes settings on to whom: a pure function of the instance list.
 *
 * In each zone the entries are ordered by rendezvous hashing. The first [RELAYS_PER_ZONE] are the relays, which watch
 * the key-value service. The entries below them form levels, in which each entry subscribes to two of the level above
 * and no entry has more than [SUBSCRIBERS_PER_ENTRY] entries as subscribers. Agents subscribe to two entries. In a zone
 * with few entries this means that all subscribe to two relays.
 */
package org.jujubelead.settings

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState

public const val RELAYS_PER_ZONE: Int = 3

/** Upstreams of one process. Two, so that the loss of one delays nothing. */
public const val UPSTREAMS: Int = 2

/**
 * Entries that subscribe to one entry. With some 10 agents for each entry at full size, and two subscriptions each, an
 * entry sends every change about 20 times; without levels a relay would send it 460 times.
 */
public const val SUBSCRIBERS_PER_ENTRY: Int = 8

/** The selection over one instance list. */
public class RelaySelection(private val instances: Collection<InstanceRecord>) {
    private val entries: List<InstanceRecord> =
        instances.filter { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }
    private val byZone: Map<ZoneId, List<InstanceRecord>> =
        entries.groupBy { it.zone }.mapValues { (zone, members) -> ranked(zone.value, members) }

    private val digestPeers: List<InstanceRecord> = byZone.values.flatMap { spared(it) }

    /** All live entries. */
    public fun entries(): List<InstanceRecord> = entries

    /** Entries to exchange digests with: those of [zone], or those of all zones. */
    public fun digestPeers(zone: ZoneId? = null): List<InstanceRecord> =
        if (zone == null) digestPeers else spared(ranked(zone))

    /** Relays of [zone]. */
    public fun relays(zone: ZoneId): List<InstanceRecord> = ranked(zone).take(RELAYS_PER_ZONE)

    public fun isRelay(instance: InstanceRecord): Boolean = relays(instance.zone).any { it.id == instance.id }

    /** The entries that [instance] subscribes to; none for a relay. */
    public fun upstreams(instance: InstanceRecord): List<InstanceRecord> {
        val zone = ranked(instance.zone)
        if (zone.isEmpty()) return ranked(instance.id.value, entries).take(UPSTREAMS)
        val position = zone.indexOfFirst { it.id == instance.id }
        return when {
            position in 0 until RELAYS_PER_ZONE -> emptyList()
            position >= 0 -> levelAbove(position).take(UPSTREAMS).map { zone[it] }
            else -> upstreamsOfAgent(instance, spared(zone))
        }
    }

    /**
     * Agents take the entries in turn, which gives each entry the same number of them. With a choice by hashing for
     * each agent, the entry with the most agents had over 6 KB/s.
     */
    private fun upstreamsOfAgent(agent: InstanceRecord, entries: List<InstanceRecord>): List<InstanceRecord> {
        val agents = instances.filter { it.zone == agent.zone && it.role == InstanceRole.AGENT }
        val position = ranked(agent.zone.value, agents).indexOfFirst { it.id == agent.id }
        // An agent that is not listed yet chooses by hashing.
        if (position < 0) return ranked(agent.id.value, entries).take(UPSTREAMS)
        return List(minOf(UPSTREAMS, entries.size)) { entries[(position * UPSTREAMS + it) % entries.size] }
    }

    private fun ranked(zone: ZoneId): List<InstanceRecord> = byZone[zone].orEmpty()

    /**
     * The entries of a zone that agents subscribe to and digests go to. Relays have the root and the branches to read,
     * some 5 KB/s at full size, so the others are used where there are enough.
     */
    private fun spared(zone: List<InstanceRecord>): List<InstanceRecord> =
        if (zone.size >= RELAYS_PER_ZONE * UPSTREAMS) zone.drop(RELAYS_PER_ZONE) else zone.take(RELAYS_PER_ZONE)
}

/** Positions in the level above [position], the first one chosen so that its subscribers are spread evenly. */
private fun levelAbove(position: Int): List<Int> {
    var start = 0
    var size = RELAYS_PER_ZONE
    while (position >= start + size + size * SUBSCRIBERS_PER_ENTRY / UPSTREAMS) {
        start += size
        size = size * SUBSCRIBERS_PER_ENTRY / UPSTREAMS
    }
    val first = (position - start - size) % size
    return List(size) { start + (first + it) % size }
}

/** Orders [members] by their score under [key], which changes little when members come and go. */
internal fun ranked(key: String, members: Collection<InstanceRecord>): List<InstanceRecord> =
    members.sortedWith(compareByDescending<InstanceRecord> { score(key, it.id) }.thenBy { it.id.value })

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_1 = -49064778989728563L
private const val MIX_2 = -4265267296055464877L
private const val MIX_SHIFT = 33

/** 64-bit FNV-1a, followed by the finalizer of MurmurHash3, without which similar ids get similar scores. */
private fun score(key: String, id: InstanceId): ULong {
    val sum = "$key/${id.value}".fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
    val first = (sum xor (sum ushr MIX_SHIFT)) * MIX_1
    val second = (first xor (first ushr MIX_SHIFT)) * MIX_2
    return (second xor (second ushr MIX_SHIFT)).toULong()
}
