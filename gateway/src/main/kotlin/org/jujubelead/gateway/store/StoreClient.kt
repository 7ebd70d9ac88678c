/** Client of the store that observes the era of its responses. Runs on one event loop. */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import org.jujubelead.core.store.StoreEra
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.Clock
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.Headers
import org.jujubelead.platform.wire.decodeStoreEra
import kotlin.time.Duration

/** @property clock clock of all that is read from the store and written to it. */
public class StoreClient(
    private val calls: RpcClient,
    private val log: EventLog,
    public val clock: Clock = ProcessClock,
) : RpcClient by calls {
    /** Era of the latest response; null before the first one. */
    public var era: StoreEra? = null
        private set

    override fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit): Unit =
        calls.get(path) { result ->
            result.onSuccess { observe(it, path) }
            done(result)
        }

    override fun post(
        path: String,
        body: String,
        timeout: Duration?,
        done: (Result<TextResponse, CallFailure>) -> Unit,
    ): Unit = calls.post(path, body, timeout) { result ->
        result.onSuccess { observe(it, path) }
        done(result)
    }

    private fun observe(response: TextResponse, path: String) {
        val named = decodeStoreEra(response.headers[Headers.STORE_ERA])
        if (named == null || named == era) return
        log.log(
            LogEvent.STORE_ERA_CHANGED,
            "before" to era?.value,
            "now" to named.value,
            "path" to path.substringBefore('?'),
        )
        era = named
    }
}
