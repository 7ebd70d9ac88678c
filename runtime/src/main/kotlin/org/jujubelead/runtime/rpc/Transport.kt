/**
 * gRPC channels and servers for traffic between processes of this system, with mutual TLS.
 *
 * Without TLS settings a process uses plaintext, which is allowed only on loopback addresses.
 */
package org.jujubelead.runtime.rpc

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.grpc.BindableService
import io.grpc.ChannelCredentials
import io.grpc.InsecureChannelCredentials
import io.grpc.InsecureServerCredentials
import io.grpc.ManagedChannel
import io.grpc.Server
import io.grpc.ServerCredentials
import io.grpc.TlsChannelCredentials
import io.grpc.TlsServerCredentials
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import org.jujubelead.protocol.TlsSettings
import java.io.FileInputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.security.KeyStore
import java.util.concurrent.TimeUnit
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.TrustManagerFactory

/** Maximum size of a gRPC message. */
public const val MAX_MESSAGE_BYTES: Int = 8 * 1024 * 1024

private const val CONNECT_TIMEOUT_MILLIS = 2_000
private const val SHUTDOWN_GRACE_SECONDS = 2L

/** Host and port. */
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; null if it is malformed. */
        public fun parse(text: String): Address? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in 0..MAX_PORT) null else Address(host = host, port = port)
        }

        private const val MAX_PORT = 65_535
    }
}

/** Errors of [Transport]. */
public sealed interface TransportError {
    /** A key store could not be loaded. */
    public data class BadKeys(val detail: String) : TransportError

    /** TLS is not configured and the listen address is not a loopback address. */
    public data class PlainTextOffLoopback(val host: String) : TransportError
}

/** Stops the server after a grace period in which calls in progress may finish. Then aborts the remaining calls. */
public fun Server.stopGracefully() {
    if (!shutdown().awaitTermination(SHUTDOWN_GRACE_SECONDS, TimeUnit.SECONDS)) shutdownNow()
}

/** Creates channels and servers with the TLS keys of this process. */
public class Transport private constructor(
    private val serverCredentials: ServerCredentials,
    private val channelCredentials: ChannelCredentials,
) : AutoCloseable {
    // One thread per group limits memory use. Messages are handled on the default dispatcher.
    private val acceptors = NioEventLoopGroup(1)
    private val workers = NioEventLoopGroup(1)
    private val executor = Dispatchers.Default.asExecutor()

    /** Creates a channel, which connects on first use. */
    public fun channel(address: Address): ManagedChannel =
        NettyChannelBuilder.forAddress(address.host, address.port, channelCredentials)
            .eventLoopGroup(workers)
            .channelType(NioSocketChannel::class.java)
            .withOption(
                io.grpc.netty.shaded.io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT_MILLIS,
            )
            .executor(executor)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .disableRetry()
            .build()

    /** Starts a server for [services]. */
    public fun serve(address: Address, services: List<BindableService>): Server =
        NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port), serverCredentials)
            .bossEventLoopGroup(acceptors)
            .workerEventLoopGroup(workers)
            .channelType(NioServerSocketChannel::class.java)
            .executor(executor)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .apply { services.forEach { addService(it) } }
            .build()
            .start()

    override fun close() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        acceptors.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    public companion object {
        /** Creates the transport of a process that listens on [listen]. Without [tls] it uses plaintext. */
        public fun create(tls: TlsSettings?, listen: Address): Result<Transport, TransportError> {
            if (tls == null || tls.keyStore.isEmpty()) return plainText(listen)
            return try {
                Ok(withKeys(tls))
            } catch (e: Exception) {
                Err(TransportError.BadKeys("${tls.keyStore}: ${e.message}"))
            }
        }

        private fun plainText(listen: Address): Result<Transport, TransportError> =
            if (InetAddress.getByName(listen.host).isLoopbackAddress) {
                Ok(Transport(InsecureServerCredentials.create(), InsecureChannelCredentials.create()))
            } else {
                Err(TransportError.PlainTextOffLoopback(listen.host))
            }

        private fun withKeys(tls: TlsSettings): Transport {
            val password = tls.password.toCharArray()
            val keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
            keys.init(loadStore(tls.keyStore, password), password)
            val trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm())
            trust.init(loadStore(tls.trustStore, password))
            return Transport(
                serverCredentials = TlsServerCredentials.newBuilder()
                    .keyManager(*keys.keyManagers)
                    .trustManager(*trust.trustManagers)
                    .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                    .build(),
                channelCredentials = TlsChannelCredentials.newBuilder()
                    .keyManager(*keys.keyManagers)
                    .trustManager(*trust.trustManagers)
                    .build(),
            )
        }

        private fun loadStore(path: String, password: CharArray): KeyStore =
            KeyStore.getInstance("PKCS12").apply { FileInputStream(path).use { load(it, password) } }
    }
}
