package org.jujubelead.gateway.schedule

import io.netty.channel.DefaultEventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@Timeout(20)
class RepeatingTaskTest {
    private val loop = DefaultEventLoop()
    private val turns = AtomicInteger()
    private var onEnd: () -> Unit = {}

    private fun task(
        maxTurnTime: Duration = 5_000.milliseconds,
        waitTime: () -> Duration = { 1.milliseconds },
        work: (RepeatingTask.Turn) -> Unit,
    ) = RepeatingTask(loop, "test", maxTurnTime, waitTime) {
        turns.incrementAndGet()
        work(it)
    }

    private fun onLoop(action: () -> Unit) = loop.submit(action).sync()

    private fun awaitTurns(count: Int) {
        while (turns.get() < count) Thread.sleep(1)
    }

    @AfterEach
    fun stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Guards against a read that waits for the next interval although something is known to have changed. */
    @Test
    fun `an expedited turn does not wait, and does not overlap the current one`() {
        val task = task(waitTime = { 10_000.milliseconds }) { turn ->
            if (turns.get() == 2) onEnd = { turn.end() } else turn.end()
        }
        task.start()
        awaitTurns(1)
        onLoop { task.expedite() }
        awaitTurns(2)
        onLoop { task.expedite() }
        expectThat(turns.get()).isEqualTo(2)
        onLoop { onEnd() }
        awaitTurns(3)
    }

    /** Guards against a loop that goes on only if its work succeeds. */
    @Test
    fun `a turn that throws is followed by the next one`() {
        task { throw StackOverflowError() }.start()
        awaitTurns(3)
    }

    @Test
    fun `a turn whose callback throws is followed by the next one`() {
        task { turn -> loop.execute { turn.step<Unit> { error("callback") }(Unit) } }.start()
        awaitTurns(3)
    }

    @Test
    fun `a wait time that cannot be determined does not end the repetition`() {
        task(waitTime = { error("wait time") }) { it.end() }.start()
        awaitTurns(3)
    }

    /** Guards against a loop that ends because one answer never came. */
    @Test
    fun `a turn that never ends is abandoned, and its late callbacks are dropped`() {
        val first = LinkedBlockingQueue<() -> Unit>()
        val late = AtomicInteger()
        task(maxTurnTime = 50.milliseconds) { turn ->
            if (turns.get() == 1) first += { turn.lastStep<Unit> { late.incrementAndGet() }(Unit) } else turn.end()
        }.start()
        awaitTurns(3)
        onLoop(first.take())
        expectThat(late.get()).isEqualTo(0)
    }

    /** Guards against turns that pile up on a slow server. */
    @Test
    fun `the next turn begins after the end of the current one`() {
        val release = CountDownLatch(1)
        val task = task { turn ->
            Thread {
                release.await()
                loop.execute { turn.end() }
            }.start()
        }
        task.start()
        awaitTurns(1)
        onLoop { repeat(5) { task.request() } }
        Thread.sleep(100)
        expectThat(turns.get()).isEqualTo(1)
        release.countDown()
        awaitTurns(2)
    }

    @Test
    fun `an idle task begins a turn when one is requested`() {
        val task = task { it.endIdle() }
        onLoop { task.request() }
        awaitTurns(1)
        Thread.sleep(50)
        expectThat(turns.get()).isEqualTo(1)
        onLoop { task.request() }
        awaitTurns(2)
    }

    /** Guards against a change that is not acted upon because it came during a turn. */
    @Test
    fun `a request during a turn is followed by a turn`() {
        lateinit var task: RepeatingTask
        task = task { turn ->
            if (turns.get() == 1) task.request()
            turn.endIdle()
        }
        onLoop { task.request() }
        awaitTurns(2)
    }

    @Test
    fun `a stopped task has no further turn and drops what arrives for its current one`() {
        val callbacks = LinkedBlockingQueue<() -> Unit>()
        val handled = AtomicInteger()
        val task = task { turn -> callbacks += { turn.step<Unit> { handled.incrementAndGet() }(Unit) } }
        task.start()
        val callback = callbacks.take()
        onLoop { task.stop() }
        onLoop(callback)
        onLoop { task.request() }
        Thread.sleep(50)
        expectThat(handled.get()).isEqualTo(0)
        expectThat(turns.get()).isEqualTo(1)
    }

    /** Guards against a loop that occupies its thread because each turn fails at once. */
    @Test
    fun `turns that fail at once are spread out`() {
        task(waitTime = { Duration.ZERO }) { error("always") }.start()
        Thread.sleep(500)
        expectThat(turns.get()).isGreaterThan(1).isLessThan(12)
    }
}
