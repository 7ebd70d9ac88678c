package org.jujubelead.standins

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class JournalTest {
    /** Guards against a restarted stand-in that overwrites, or holds back, the executions before it. */
    @Test
    fun `lines are on disk at once and stay over a restart`(@TempDir directory: File) {
        val file = File(directory, "journal")
        Journal(file).append("first")
        expectThat(file.readText()).isEqualTo("first\n")
        Journal(file).append("second")
        expectThat(file.readLines()).isEqualTo(listOf("first", "second"))
        Journal().append("nowhere")
    }
}
