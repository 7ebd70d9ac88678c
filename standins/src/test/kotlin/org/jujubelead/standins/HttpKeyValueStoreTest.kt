package org.jujubelead.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.HttpKeyValueStore
import org.jujubelead.platform.KeyValueError
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpKeyValueStoreTest {
    private val service = KeyValueService()
    private val server = StandInServer(modules = listOf(KeyValueHttp(service)))
    private val store = HttpKeyValueStore(server.baseUrl, timeout = 1.seconds)
    private val one = byteArrayOf(1)

    @AfterEach
    fun stop() {
        store.close()
        server.close()
    }

    /** Guards against values, versions or conflicts that are changed by encoding or decoding. */
    @Test
    fun `values, versions, conflicts, lists and leases are transmitted unchanged`() = runBlocking<Unit> {
        val version = store.compareAndSet("a/b c", null, one, OperationId("1")).get()
        expectThat(store.get("a/b c").get()).isNotNull().get { bytes.toList() }.isEqualTo(one.toList())
        expectThat(store.get("missing").get()).isNull()
        expectThat(store.compareAndSet("a/b c", null, one, OperationId("2")).getError())
            .isA<KeyValueError.Conflict>().get { current?.version }.isEqualTo(version)
        expectThat(store.list("a/").get()).isEqualTo(listOf("a/b c"))
        expectThat(store.list("z").get()).isEqualTo(emptyList())
        expectThat(store.acquireLease("l", "me", 1.seconds).get()?.fence).isEqualTo(Fence(1))
        expectThat(store.acquireLease("l", "you", 1.seconds).getError()).isA<KeyValueError.Conflict>()
        expectThat(store.delete("a/b c").get()).isNotNull()
        expectThat(service.read("a/b c")).isNull()
    }

    /** Guards against a watch that misses a change or does not time out. */
    @Test
    fun `a watch returns the change, or null after its timeout`() = runBlocking<Unit> {
        expectThat(store.watch("w", null, 50.milliseconds).get()).isNull()
        val change = async { store.watch("w", null, 5.seconds) }
        delay(100)
        store.compareAndSet("w", null, one, OperationId("1"))
        expectThat(change.await().get()).isNotNull()
    }

    /** Guards against a refused connection that is reported as a write that may have taken effect. */
    @Test
    fun `a refused connection means that the write was not sent`() = runBlocking<Unit> {
        server.close()
        expectThat(store.compareAndSet("a", null, one, OperationId("1")).getError())
            .isA<KeyValueError.Unavailable>()
    }

    /** Guards against a missing or truncated response that is reported as a write without effect. */
    @Test
    fun `a lost response leaves the outcome unknown`() = runBlocking<Unit> {
        server.control("kv", """{"lostAnswers":1.0}""")
        repeat(4) {
            expectThat(store.compareAndSet("a$it", null, one, OperationId("$it")).getError())
                .isA<KeyValueError.OutcomeUnknown>()
            expectThat(service.read("a$it")).isNotNull()
        }
    }

    /** Guards against a call without a deadline. Only a write has an unknown outcome, because a read has no effect. */
    @Test
    fun `a slow call ends at its deadline`() = runBlocking<Unit> {
        server.control("kv", """{"latencyMs":5000}""")
        expectThat(store.compareAndSet("a", null, one, OperationId("1")).getError())
            .isA<KeyValueError.OutcomeUnknown>()
        expectThat(store.get("a").getError()).isA<KeyValueError.Unavailable>()
    }

    /** Guards against an oversized value that is sent, or is reported as an unknown outcome. */
    @Test
    fun `an oversized value is rejected`() = runBlocking<Unit> {
        expectThat(store.compareAndSet("a", null, ByteArray(1_000_001), OperationId("1")).getError())
            .isA<KeyValueError.Unavailable>()
        expectThat(store.compareAndSet("a", null, ByteArray(1_000_000), OperationId("2")).get()).isNotNull()
    }
}
