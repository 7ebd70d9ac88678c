package org.jujubelead.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.seconds

class KeyValueServiceTest {
    private val service = KeyValueService()

    /** Guards against a compare-and-swap that overwrites a newer value. */
    @Test
    fun `a write with an outdated version conflicts`() = runTest {
        val store = InMemoryKeyValueStore(service = service, nowMillis = { currentTime })
        val first = store.compareAndSet("a", null, byteArrayOf(1), OperationId("1")).get()
        expectThat(store.compareAndSet("a", null, byteArrayOf(2), OperationId("2")).getError())
            .isA<KeyValueError.Conflict>()
        expectThat(store.compareAndSet("a", first, byteArrayOf(3), OperationId("3")).get()).isNotNull()
    }

    /** Guards against a lost response that is reported as a write without effect. */
    @Test
    fun `a lost response leaves the outcome unknown although the write took effect`() = runTest {
        val faults = KeyValueFaults(lostAnswers = 1.0)
        val store = InMemoryKeyValueStore(service = service, nowMillis = { currentTime }, faults = faults)
        expectThat(store.compareAndSet("a", null, byteArrayOf(1), OperationId("1")).getError())
            .isA<KeyValueError.OutcomeUnknown>()
        expectThat(service.read("a")).isNotNull()
    }

    /** Guards against an expired lease whose next holder gets the same fencing token. */
    @Test
    fun `an expired lease is granted to another holder with a higher fence`() = runTest {
        val store = InMemoryKeyValueStore(service = service, nowMillis = { currentTime })
        expectThat(store.acquireLease("l", "a", 1.seconds).get()?.fence).isEqualTo(Fence(1))
        expectThat(store.acquireLease("l", "b", 1.seconds).getError()).isA<KeyValueError.Conflict>()
        testScheduler.advanceTimeBy(1_100)
        expectThat(store.acquireLease("l", "b", 1.seconds).get()?.fence).isEqualTo(Fence(2))
    }
}
