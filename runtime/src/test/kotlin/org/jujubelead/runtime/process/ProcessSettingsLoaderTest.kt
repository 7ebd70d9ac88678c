package org.jujubelead.runtime.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.File

private const val REQUIRED = """
instance: i
zone: z
listen: 127.0.0.1:1
http: 127.0.0.1:2
key_value_url: http://127.0.0.1:3
directory_url: http://127.0.0.1:4
"""

class ProcessSettingsLoaderTest {
    @TempDir
    lateinit var folder: File

    private fun load(text: String) = loadProcessSettings(File(folder, "process.yaml").apply { writeText(text) })

    /** Guards against values that are dropped or assigned to another field. */
    @Test
    fun `a complete file is read`() {
        val settings = load("$REQUIRED\nmax_requests: 7\ntls:\n  key_store: k").get()
        expectThat(settings).isNotNull().and {
            get { listOf(instance, zone, listen, http) }.isEqualTo(listOf("i", "z", "127.0.0.1:1", "127.0.0.1:2"))
            get { keyValueUrl to directoryUrl }.isEqualTo("http://127.0.0.1:3" to "http://127.0.0.1:4")
            get { maxRequests to tls.keyStore }.isEqualTo(7 to "k")
        }
    }

    /** Guards against errors that are reported one at a time, so that each one needs another start of the process. */
    @Test
    fun `unknown keys, missing keys and wrong types are all reported at once`() {
        val text = REQUIRED.replace("zone: z\n", "") + "\nmax_requests: many\nzoen: z\ntls:\n  key_store: 5\n  pin: 1"
        val errors = load(text).getError().orEmpty()
        expectThat(errors.map { it.path to it.message.substringBefore(';') }).containsExactlyInAnyOrder(
            "zone" to "must be set",
            "max_requests" to "expected a whole number of 0 or more, found \"many\"",
            "zoen" to "is not a known key",
            "tls.key_store" to "expected a string, found \"5\"",
            "tls.pin" to "is not a known key",
        )
    }

    /** Guards against an uncaught exception when the file cannot be read or parsed. */
    @Test
    fun `a missing file and broken YAML are errors`() {
        expectThat(loadProcessSettings(File(folder, "none.yaml")).getError().orEmpty().size).isEqualTo(1)
        expectThat(load("a: [").getError().orEmpty().size).isEqualTo(1)
    }
}
