/**
 * Decides which of the configurations read from the store is the newest, and whether a read proves it.
 *
 * The operator's version orders configurations across all eras of the store; a revision only tells whether an entry has
 * changed within an era. After the store has come back from a copy, the newest configuration may be missing until the
 * operator has written it again, so that neither an older configuration nor the one in use proves that nothing newer
 * was confirmed. A read proves it once the era has settled, or if the entry that it found was written in the era.
 */
package org.jujubelead.core.store

import org.jujubelead.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** @param settleTime time from the first answer of an era until all that was lost has been written again. */
public class ConfigurationOrder(private val settleTime: Duration = DEFAULT_SETTLE_TIME) {
    private data class Entry(val revision: StoreRevision, val version: Long)

    private var era: StoreEra? = null
    private var settlesAt = Timestamp.ZERO
    private var settledElsewhere = false
    private var latest: Entry? = null

    /** True if the latest entry was written in the current era. */
    private var latestWrittenInEra = false

    /** True if the latest entry was proven to be the newest in its era. */
    private var latestProven = false

    /** Numbers of the latest versions that were read in any era. */
    private val seen = LinkedHashSet<Pair<Long, Long>>()

    /** Revision of the latest entry that was read; null before the first one. */
    public val latestRevision: StoreRevision? get() = latest?.revision

    /** Highest version that was read; null before the first one. */
    public var newestVersion: Long? = null
        private set

    /** Records an answer of the store in [era] that was received at [now]: its request may be older than the era. */
    public fun onAnswer(era: StoreEra, now: Timestamp) {
        val known = this.era
        if (known != null && era <= known) return
        this.era = era
        settlesAt = now + settleTime
        settledElsewhere = false
    }

    /** Records that another instance has seen [era] settle. */
    public fun onSettledElsewhere(era: StoreEra) {
        if (era == this.era) settledElsewhere = true
    }

    /** Returns whether the operator has written its newest configuration in the current era by [at]. */
    public fun isSettled(at: Timestamp): Boolean = era != null && (settledElsewhere || at >= settlesAt)

    /** Records that [version] was read at [revision] of the current era. Returns whether it is the newest so far. */
    public fun onRead(revision: StoreRevision, version: Long, sentAt: Timestamp): Boolean {
        val before = latest
        val writtenInEra = before != null && isWrittenInEra(before, revision, version)
        latest = Entry(revision, version)
        latestWrittenInEra = writtenInEra
        seen += version to revision.number
        if (seen.size > MAX_SEEN) seen.remove(seen.first())
        newestVersion = maxOf(newestVersion ?: version, version)
        onUnchanged(sentAt)
        return version == newestVersion
    }

    /** Records that the latest entry was still in the store when a request sent at [sentAt] arrived there. */
    public fun onUnchanged(sentAt: Timestamp) {
        latestProven = isProof(sentAt)
    }

    /** Returns whether a read sent at [sentAt] that found the latest entry proves that none is newer. */
    public fun isProof(sentAt: Timestamp): Boolean =
        latest?.version == newestVersion && (latestWrittenInEra || isSettled(sentAt))

    private fun isWrittenInEra(before: Entry, revision: StoreRevision, version: Long): Boolean {
        val number = revision.number
        if (before.revision.era == revision.era) return latestWrittenInEra || before.revision.number != number
        // The copy may be older than the previous era, but no entry of it is newer than one that was proven there.
        val previousEra = before.revision.era.value + 1 == revision.era.value
        if (!previousEra || !latestProven || version to number in seen) return false
        return version == before.version || (version > before.version && number <= before.revision.number)
    }

    public companion object {
        /** The platform documentation promises it within about two seconds; 0.5 s is added as a margin. */
        public val DEFAULT_SETTLE_TIME: Duration = 2.5.seconds

        private const val MAX_SEEN = 64
    }
}
