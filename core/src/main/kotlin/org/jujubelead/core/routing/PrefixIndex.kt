/** LRU index of the targets that recently received prompts with a given prefix. */
package org.jujubelead.core.routing

/** Not thread-safe: confined to the control thread. */
public class PrefixIndex(private val maxPrefixes: Int = DEFAULT_PREFIXES) {
    private class Holders(var newest: TargetLoad, var other: TargetLoad? = null)

    private val holders = object : LinkedHashMap<Long, Holders>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Holders>): Boolean = size > maxPrefixes
    }

    /** Number of indexed prefixes. */
    public val size: Int get() = holders.size

    /** Records that a prompt with these [prefixes] was sent to the target of [load]. */
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

    /** Calls [visit] with up to two targets that received the longest known prefix, and its length in blocks. */
    internal fun holdersOf(prefixes: LongArray, visit: (TargetLoad, Int) -> Unit) {
        for (i in prefixes.indices.reversed()) {
            val known = holders[prefixes[i]] ?: continue
            visit(known.newest, i + 1)
            known.other?.let { visit(it, i + 1) }
            return
        }
    }

    public companion object {
        /** At about 100 bytes per prefix, 1.6 MB of the 128 MB of a process. */
        public const val DEFAULT_PREFIXES: Int = 16_384
        private const val INITIAL_SIZE = 1024
        private const val LOAD_FACTOR = 0.75f
    }
}
