package org.jujubelead.settings

import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class SettingsParserTest {
    private fun faults(yaml: String): List<SettingsFault> =
        SettingsParser.parse(yaml.trimIndent(), "test.yaml").getError().orEmpty()

    /** Guards against a parser that stops at the first fault, or reports it at the wrong line. */
    @Test
    fun `all faults are reported at once with their lines`() {
        val yaml = """
            defaults:
              request_timeout_ms: 0
              sharr: 2
            services:
              booking: {path_prefix: booking/}
            models:
              Chat: {ranks: 1}
        """
        expectThat(faults(yaml).map { it.position.line to it.path.text }).containsExactly(
            2 to "defaults/request_timeout_ms",
            3 to "defaults/sharr",
            5 to "services/booking/path_prefix",
            7 to "models/Chat",
        )
        expectThat(faults(yaml).map { it.allowed }).any { contains("did you mean \"share\"?") }
    }

    /** Guards against values of a wrong kind that are read as something else. */
    @Test
    fun `lists, mappings and missing values in place of scalars are faults`() {
        expectThat(faults("defaults: {share: [1], objective: {a: 1}, priority: }")).hasSize(3)
        expectThat(faults("workspaces: [a]")).hasSize(1)
        expectThat(faults("zones: {zone-a: {maintenance: {start: soon, end: 2027-03-01T22:00:00Z}}}")).hasSize(1)
    }

    /** Guards against a duplicate key that silently replaces the first, and against files that are not YAML. */
    @Test
    fun `duplicate keys and broken YAML are faults`() {
        expectThat(faults("models: {chat: {ranks: 1}, chat: {ranks: 2}}").map { it.found })
            .containsExactly("the key a second time")
        expectThat(faults("a: [")).hasSize(1)
    }

    /** Guards against fields that are lost between a file and the stored form. */
    @Test
    fun `flat form keeps every field`() {
        expectThat(unflatten(flatten(tree()))).isEqualTo(tree())
        expectThat(flatten(tree())[SettingsPath("workspaces/acme/per_service/booking/request_timeout_ms")])
            .isEqualTo(FieldValue.Scalar(5_000))
    }
}
