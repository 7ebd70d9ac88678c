package org.jujubelead.standins

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class JournalTest {
    /** Guards against a restarted process that overwrites earlier executions, and against buffered lines. */
    @Test
    fun `lines are flushed immediately and kept after a restart`(@TempDir directory: File) {
        val file = File(directory, "journal")
        Journal(file).append("first")
        expectThat(file.readText()).isEqualTo("first\n")
        Journal(file).append("second")
        expectThat(file.readLines()).isEqualTo(listOf("first", "second"))
        Journal().append("nowhere")
    }
}
