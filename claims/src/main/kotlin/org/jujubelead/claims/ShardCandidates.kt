/** Selection of the instances that may own a shard. */
package org.jujubelead.claims

import org.jujubelead.core.ids.InstanceId

private const val SPLITMIX_INCREMENT = -0x61c8864680b583ebL
private const val SPLITMIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
private const val SPLITMIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L

/**
 * Selects the candidates of [shard] by rendezvous hashing, taking the first of each zone before the second of any zone.
 * Instances with different views of [members] may select different candidates. This costs extra hops but never leads to
 * a second owner, because ownership is fenced by the log.
 */
internal fun selectCandidates(shard: Int, members: List<ClaimMember>, count: Int): List<InstanceId> {
    val ranked = members.sortedWith(compareBy({ weight(shard, it.id) }, { it.id.value }))
    val countByZone = HashMap<String, Int>()
    return ranked
        .map { member -> member.id to countByZone.merge(member.zone.value, 1, Int::plus)!! }
        .sortedBy { (_, rankInZone) -> rankInZone }
        .take(count)
        .map { (id, _) -> id }
}

private fun weight(shard: Int, id: InstanceId): Long =
    mix(id.value.fold(mix(shard.toLong() + 1)) { hash, c -> mix(hash xor c.code.toLong()) })

/** The finalizer of SplitMix64. */
@Suppress("MagicNumber") // The shift widths are part of the published algorithm.
private fun mix(value: Long): Long {
    var z = value + SPLITMIX_INCREMENT
    z = (z xor (z ushr 30)) * SPLITMIX_MULTIPLIER_1
    z = (z xor (z ushr 27)) * SPLITMIX_MULTIPLIER_2
    return z xor (z ushr 31)
}
