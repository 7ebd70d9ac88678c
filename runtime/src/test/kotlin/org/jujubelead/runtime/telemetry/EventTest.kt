package org.jujubelead.runtime.telemetry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class EventTest {
    /** Guards against undocumented events, and against catalogue entries for events that no longer exist. */
    @Test
    fun `the catalogue lists exactly the events in code`() {
        val line = Regex("""^\| (JJ-\d+) \| (\w+) \| (\w+) \|""")
        val listed = File("../docs/events.md").readLines().mapNotNull { line.find(it)?.destructured?.toList() }
        expectThat(listed).isEqualTo(Event.entries.map { listOf(it.code, it.name, it.level.name().lowercase()) })
    }
}
