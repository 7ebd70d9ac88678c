/** Which targets were sent a prefix lately. Bounded: the prefixes not used for longest are forgotten first. */
package org.jujubelead.core.routing

/** Mutable; owned by the control thread. */
public class PrefixIndex(private val mostPrefixes: Int = DEFAULT_PREFIXES) {
    private class Holders(var newest: TargetLoad, var other: TargetLoad? = null)

    private val holders = object : LinkedHashMap<Long, Holders>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Holders>): Boolean = size > mostPrefixes
    }

    /** Number of prefixes remembered. */
    public val size: Int get() = holders.size

    /** Remembers that [load]'s target was sent a prompt with these [prefixes]. */
    public fun record(prefixes: LongArray, load: TargetLoad) {
        for (prefix in prefixes) {
            val known = holders[prefix]
            when {
                known == null -> holders[prefix] = Holders(load)

                known.newest !== load -> {
                    known.other = known.newest
                    known.newest = load
                }
            }
        }
    }

    /** Calls [visit] with up to two holders of the longest known prefix and its length in blocks. */
    internal fun holdersOf(prefixes: LongArray, visit: (TargetLoad, Int) -> Unit) {
        for (i in prefixes.indices.reversed()) {
            val known = holders[prefixes[i]] ?: continue
            visit(known.newest, i + 1)
            known.other?.let { visit(it, i + 1) }
            return
        }
    }

    public companion object {
        /** About 100 bytes a prefix: 1.6 MB of the 128 MB of a process. */
        public const val DEFAULT_PREFIXES: Int = 16_384
        private const val INITIAL_SIZE = 1024
        private const val LOAD_FACTOR = 0.75f
    }
}
