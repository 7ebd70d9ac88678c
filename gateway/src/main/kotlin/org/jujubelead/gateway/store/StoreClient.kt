/**
 * Client of the store that tells in which era each answer was given.
 *
 * An answer of an earlier era than the latest one counts as none: connections may deliver answers out of order. Runs on
 * one event loop.
 */
package org.jujubelead.gateway.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import org.jujubelead.core.store.StoreEra
import org.jujubelead.gateway.net.CallFailure
import org.jujubelead.gateway.net.Clock
import org.jujubelead.gateway.net.ProcessClock
import org.jujubelead.gateway.net.RpcClient
import org.jujubelead.gateway.net.TextResponse
import org.jujubelead.gateway.schedule.guarded
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent
import org.jujubelead.platform.wire.Headers
import org.jujubelead.platform.wire.decodeStoreEra

/** A complete answer of the store. */
public class StoreAnswer(public val status: Int, public val body: String, public val era: StoreEra)

/** Returns the answer if its status is 200; null for any other result. */
public fun Result<StoreAnswer, CallFailure>.success(): StoreAnswer? = get()?.takeIf { it.status == STATUS_OK }

private const val STATUS_OK = 200

/** @property clock clock of all that is read from the store and written to it. */
public class StoreClient(
    private val calls: RpcClient,
    private val log: EventLog,
    public val clock: Clock = ProcessClock,
) {
    private val listeners = ArrayList<(StoreEra) -> Unit>()

    /** Latest era of any answer; null before the first one. */
    public var era: StoreEra? = null
        private set

    /** Adds a listener of new eras, called before the answer that named the era is passed on. */
    public fun onNewEra(listener: (StoreEra) -> Unit) {
        listeners += listener
    }

    public fun get(path: String, done: (Result<StoreAnswer, CallFailure>) -> Unit): Unit =
        calls.get(path) { done(observed(it, path)) }

    public fun post(path: String, body: String, done: (Result<StoreAnswer, CallFailure>) -> Unit): Unit =
        calls.post(path, body) { done(observed(it, path)) }

    private fun observed(result: Result<TextResponse, CallFailure>, path: String): Result<StoreAnswer, CallFailure> =
        result.flatMap { response ->
            val header = response.headers[Headers.STORE_ERA]
            val named = decodeStoreEra(header) ?: return@flatMap Err(CallFailure("unreadable era $header"))
            val known = era
            if (known != null && named < known) return@flatMap Err(CallFailure("answer of era $named after $known"))
            if (known != named) startEra(named, path)
            Ok(StoreAnswer(response.status, response.body, named))
        }

    private fun startEra(next: StoreEra, path: String) {
        val before = era
        log.log(
            LogEvent.STORE_ERA_CHANGED,
            "before" to before?.value,
            "now" to next.value,
            "path" to path.substringBefore('?'),
        )
        era = next
        if (before != null) listeners.forEach { guarded("store era") { it(next) } }
    }
}
