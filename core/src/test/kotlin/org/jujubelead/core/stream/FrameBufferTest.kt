package org.jujubelead.core.stream

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FrameBufferTest {
    /** Guards against a resumed stream that reads other frames than the first reader. */
    @Test
    fun `frames stay readable at their position until they are acknowledged`() {
        val buffer = FrameBuffer<String>(capacity = 3)
        listOf("a", "b", "c").forEach(buffer::append)
        expectThat(buffer.isFull).isTrue()
        buffer.acknowledge(2)
        expectThat(buffer.isFull).isFalse()
        expectThat(buffer.read(1)).isEqualTo(FrameRead.Released)
        expectThat(buffer.read(2)).isEqualTo(FrameRead.Available("c"))
        expectThat(buffer.read(3)).isEqualTo(FrameRead.NotYet)
        buffer.close()
        expectThat(buffer.read(3)).isEqualTo(FrameRead.Closed)
    }

    /** Guards against sequence numbers that are shifted by an acknowledgement beyond the last frame. */
    @Test
    fun `an acknowledgement beyond the last frame releases all frames`() {
        val buffer = FrameBuffer<String>(capacity = 3)
        buffer.append("a")
        buffer.acknowledge(9)
        expectThat(buffer.nextSequence).isEqualTo(1)
    }
}
