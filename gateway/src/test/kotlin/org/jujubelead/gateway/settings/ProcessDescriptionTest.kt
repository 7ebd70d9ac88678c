package org.jujubelead.gateway.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ProcessDescriptionTest {
    private val text = """
        instance: "i1"
        machine: "10.0.0.1"
        zone: "z"
        callers: "10.0.0.1:80"
        readiness: "10.0.0.1:81"
        unknown: 1
        internalPorts: [7000,7015]
        store: "10.0.0.9:90"
        bounds:
          strictRevocation: true
          revocationMillis: 5000
          retryRatio: 0.2
          retryWindowSeconds: 10
          retrySlack: 92
          stopGraceSeconds: 8
          configurationMillis: 2000
          drainMillis: 3000
    """.trimIndent()

    /** Guards against a field whose name differs from that in the template. */
    @Test
    fun `settings in the format of the template are read, and unknown fields are ignored`() {
        val description = checkNotNull(readProcessDescription(text).get())
        expectThat(description.internalPorts).isEqualTo(7000..7015)
        expectThat(description.store.port).isEqualTo(90)
        expectThat(description.replica).isNull()
        expectThat(description.bounds.retrySlack).isEqualTo(92.0)
    }

    /** Guards against a start with invalid settings, and against errors that are reported one at a time. */
    @Test
    fun `all errors are reported with their paths`() {
        val broken = text.replace("\"10.0.0.9:90\"", "\"nowhere\"").replace("retrySlack: 92", "retrySlack: -1")
            .replace("zone: \"z\"", "")
        val paths = checkNotNull(readProcessDescription(broken).getError()).map { it.path }
        expectThat(paths.toSet()).isEqualTo(setOf("zone", "store", "bounds.retrySlack"))
        expectThat(readProcessDescription("- a").getError()?.single()?.message).isEqualTo("must be a mapping")
    }
}
