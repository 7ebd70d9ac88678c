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
    private fun errors(yaml: String): List<ValidationError> =
        SettingsParser.parse(yaml.trimIndent(), "test.yaml").getError().orEmpty()

    /** Guards against a parser that stops at the first error or reports a wrong line. */
    @Test
    fun `all errors are reported at once with their lines`() {
        val yaml = """
            defaults:
              request_timeout_ms: 0
              sharr: 2
            services:
              booking: {path_prefix: booking/}
            models:
              Chat: {ranks: 1}
        """
        expectThat(errors(yaml).map { it.position.line to it.path.text }).containsExactly(
            2 to "defaults/request_timeout_ms",
            3 to "defaults/sharr",
            5 to "services/booking/path_prefix",
            7 to "models/Chat",
        )
        expectThat(errors(yaml).map { it.allowed }).any { contains("did you mean \"share\"?") }
    }

    /** Guards against values of the wrong kind being converted silently. */
    @Test
    fun `lists, mappings and missing values in place of scalars are errors`() {
        expectThat(errors("defaults: {share: [1], objective: {a: 1}, priority: }")).hasSize(3)
        expectThat(errors("workspaces: [a]")).hasSize(1)
        expectThat(errors("zones: {zone-a: {maintenance: {start: soon, end: 2027-03-01T22:00:00Z}}}")).hasSize(1)
    }

    /** Guards against duplicate keys that silently replace each other, and against invalid YAML. */
    @Test
    fun `duplicate keys and invalid YAML are errors`() {
        expectThat(errors("models: {chat: {ranks: 1}, chat: {ranks: 2}}").map { it.found })
            .containsExactly("a duplicate key")
        expectThat(errors("a: [")).hasSize(1)
    }

    /** Guards against fields that are lost when settings are converted for storage. */
    @Test
    fun `flattening preserves every field`() {
        expectThat(unflatten(flatten(tree()))).isEqualTo(tree())
        expectThat(flatten(tree())[SettingsPath("workspaces/acme/per_service/booking/request_timeout_ms")])
            .isEqualTo(FieldValue.Scalar(5_000))
    }
}
