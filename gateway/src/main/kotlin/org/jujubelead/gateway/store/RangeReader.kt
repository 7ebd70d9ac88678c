/**
 * Reads ranges of keys from the store, page by page.
 *
 * Keys and values can be those of other writers. The read ends early if a page cannot be read, names an earlier page as
 * the next one, or is of another era than the first; what was read until then is passed on with the reason.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import org.jujubelead.core.store.StoreEra
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.schedule.RepeatingTask
import org.jujubelead.platform.wire.DecodeError
import org.jujubelead.platform.wire.KeyRange
import org.jujubelead.platform.wire.RangePage
import org.jujubelead.platform.wire.StoreRequests

/** A page as it was sent, and its decoded content. */
public class ReadPage<P : RangePage>(public val body: String, public val content: P)

/**
 * @property era era of all [pages]; null if there are none.
 * @property failure why the read ended before the last page; null if the read is complete.
 */
public class RangeRead<P : RangePage>(
    public val pages: List<ReadPage<P>>,
    public val era: StoreEra?,
    public val failure: String?,
)

/** Reads all pages of [range] as a part of [turn], and passes them to [done]. */
public fun <P : RangePage> StoreClient.readRange(
    range: KeyRange,
    turn: RepeatingTask.Turn,
    decode: (body: String, era: StoreEra) -> Result<P, DecodeError>,
    done: (RangeRead<P>) -> Unit,
): Unit = RangeReader(this, range, turn, decode, done).readPage(after = null)

private class RangeReader<P : RangePage>(
    private val store: StoreClient,
    private val range: KeyRange,
    private val turn: RepeatingTask.Turn,
    private val decode: (body: String, era: StoreEra) -> Result<P, DecodeError>,
    private val done: (RangeRead<P>) -> Unit,
) {
    private val pages = ArrayList<ReadPage<P>>()
    private val requestedKeys = HashSet<String>()
    private var era: StoreEra? = null

    fun readPage(after: String?) {
        val onAnswer = turn.step { result: Result<StoreAnswer, CallFailure> ->
            result.fold(::onPage) { end(it.detail) }
        }
        store.get(StoreRequests.pagePath(range, after), onAnswer)
    }

    private fun onPage(answer: StoreAnswer) {
        if (answer.status != STATUS_OK) return end("status ${answer.status}")
        val first = era
        if (first != null && first != answer.era) {
            pages.clear()
            return end("pages of era $first and ${answer.era}")
        }
        val decoded = decode(answer.body, answer.era).onFailure { end(it.detail) }
        val page = decoded.get() ?: return
        era = answer.era
        pages += ReadPage(answer.body, page)
        val next = page.next
        when {
            next == null -> end(failure = null)
            !requestedKeys.add(next) -> end("page after \"$next\" repeated")
            else -> readPage(next)
        }
    }

    private fun end(failure: String?) = done(RangeRead(pages, era, failure))

    private companion object {
        const val STATUS_OK = 200
    }
}
