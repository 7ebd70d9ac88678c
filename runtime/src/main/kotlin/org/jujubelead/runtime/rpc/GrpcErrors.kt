/** What errors of gRPC prove. */
package org.jujubelead.runtime.rpc

import io.grpc.StatusException
import java.net.ConnectException

/**
 * True when no connection could be opened, so that nothing was sent: a call waits for a connection before it is sent.
 */
public fun StatusException.isConnectFailure(): Boolean =
    generateSequence<Throwable>(cause) { it.cause }.any { it is ConnectException }
