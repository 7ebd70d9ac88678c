/** Choice of the entries that may own a shard. */
package org.jujubelead.claims

import org.jujubelead.core.ids.InstanceId

private const val MIX_1 = -0x61c8864680b583ebL
private const val MIX_2 = -0x40a7b892e31b1a47L
private const val MIX_3 = -0x6b2fb644ecceee15L

/**
 * The candidates of [shard] by rendezvous hashing, the first of each zone before the second of any. Instances with
 * different views of [members] may choose differently; this costs hops and never a second owner.
 */
internal fun candidates(shard: Int, members: List<ClaimMember>, count: Int): List<InstanceId> {
    val ranked = members.sortedWith(compareBy({ weight(shard, it.id) }, { it.id.value }))
    val seen = HashMap<String, Int>()
    return ranked
        .map { member -> member.id to seen.merge(member.zone.value, 1, Int::plus)!! }
        .sortedBy { (_, rankInZone) -> rankInZone }
        .take(count)
        .map { (id, _) -> id }
}

private fun weight(shard: Int, id: InstanceId): Long =
    mix(id.value.fold(mix(shard.toLong() + 1)) { hash, c -> mix(hash xor c.code.toLong()) })

/** The finalizer of SplitMix64. */
@Suppress("MagicNumber") // The shifts belong to the published function.
private fun mix(value: Long): Long {
    var z = value + MIX_1
    z = (z xor (z ushr 30)) * MIX_2
    z = (z xor (z ushr 27)) * MIX_3
    return z xor (z ushr 31)
}
