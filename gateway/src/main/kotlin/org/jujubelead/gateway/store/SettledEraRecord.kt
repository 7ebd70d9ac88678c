/**
 * Record in the store that the newest configuration has been written in an era, for gateways that start later.
 *
 * A gateway that starts cannot know whether the store has just come back from a copy. The record is lost with the store
 * like everything else, so one of an earlier era tells that it may have. Runs on the control-plane event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.get
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.gateway.schedule.InProgress
import org.jujubelead.platform.wire.StoreRequests
import org.jujubelead.platform.wire.StoredValue
import org.jujubelead.platform.wire.WireDecoders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class SettledEraRecord(private val store: StoreClient, private val decoders: WireDecoders) {
    private val write = InProgress(MAX_WRITE_TIME)

    /** Revision of the record; null if there is none. */
    var revision: StoreRevision? = null
        private set

    /** Latest era that is known to have settled; null if none is. */
    var era: StoreEra? = null
        private set

    /** Applies the record that was read; null if there is none. */
    fun onRead(value: StoredValue?) {
        revision = value?.revision
        era = value?.text?.toLongOrNull()?.let(::StoreEra)
    }

    /** Records that [settled] has settled, unless the store has a record of it. */
    fun record(settled: StoreEra) {
        if (era == settled || write.at(store.clock.now())) return
        write.begin(store.clock.now())
        val body = StoreRequests.replace(KEY, revision, settled.toString(), settled)
        store.post(StoreRequests.TRANSACTION_PATH, body) { result ->
            write.end()
            val answer = result.success() ?: return@post
            val written = decoders.writeRevision(answer.body, answer.era).get() ?: return@post
            if (answer.era != settled) return@post
            revision = written
            era = settled
        }
    }

    companion object {
        const val KEY: String = "store/settled-era"
        private val MAX_WRITE_TIME: Duration = 3.seconds
    }
}
