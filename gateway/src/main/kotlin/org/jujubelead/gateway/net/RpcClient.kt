/** Calls to one endpoint with text bodies, independent of how they are transported. */
package org.jujubelead.gateway.net

import com.github.michaelbull.result.Result
import org.jujubelead.core.replica.Endpoint
import kotlin.time.Duration

/** Makes calls to [endpoint]. Each call ends with a complete response, or as a failure once its timeout has passed. */
public interface RpcClient {
    public val endpoint: Endpoint

    public fun get(path: String, done: (Result<TextResponse, CallFailure>) -> Unit)

    /** @param timeout timeout of this call; null for that of the client. */
    public fun post(
        path: String,
        body: String,
        timeout: Duration? = null,
        done: (Result<TextResponse, CallFailure>) -> Unit,
    )

    public fun close()
}

/** Creates clients whose calls have the given timeout unless they name another one. */
public fun interface RpcClients {
    public fun connect(endpoint: Endpoint, timeout: Duration): RpcClient
}
