/** Classification of gRPC errors. */
package org.jujubelead.runtime.rpc

import io.grpc.StatusException
import java.net.ConnectException

/**
 * True if no connection could be opened. A call is sent only after its connection is open, so nothing was sent.
 */
public fun StatusException.isConnectFailure(): Boolean =
    generateSequence<Throwable>(cause) { it.cause }.any { it is ConnectException }
