package org.jujubelead.settings

import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty

class SettingsValidatorTest {
    private fun faultPaths(yaml: String): List<String> =
        SettingsParser.parse(yaml.trimIndent(), "test.yaml").getError().orEmpty().map { it.path.text }

    /** Guards against names of models and services that are accepted although they do not exist. */
    @Test
    fun `references must exist`() {
        val yaml = """
            models: {chat: }
            services: {booking: {path_prefix: /booking}}
            workspaces:
              acme: {models: [chat, chatt], services: [bookings], per_service: {booking: {share: 2}}}
        """
        expectThat(faultPaths(yaml)).containsExactlyInAnyOrder(
            "workspaces/acme/models",
            "workspaces/acme/services",
            "workspaces/acme/per_service/booking",
        )
    }

    /** Guards against requests that two services could claim, or that hide the own paths. */
    @Test
    fun `prefixes must not overlap`() {
        val yaml = """
            services:
              a: {path_prefix: /a}
              b: {path_prefix: /a-b}
              c: {path_prefix: /a/c}
              d: {path_prefix: /a/c/d}
              e: {path_prefix: /v1/chat}
              f: {path_prefix: /a}
              g: {}
        """
        expectThat(faultPaths(yaml)).containsExactlyInAnyOrder(
            "services/c/path_prefix",
            "services/d/path_prefix",
            "services/e/path_prefix",
            "services/f/path_prefix",
            "services/g/path_prefix",
        )
    }

    /** Guards against values that are valid alone and contradict each other once inherited. */
    @Test
    fun `effective values are checked at every node`() {
        val yaml = """
            defaults: {first_token_objective_ms: 4000}
            zones: {zone-a: {token_gap_objective_ms: 3000}}
            models: {chat: }
            workspaces:
              acme: {models: [chat], per_model: {chat: {request_timeout_ms: 2000}}}
              small: {models: [chat], request_timeout_ms: 5000}
        """
        expectThat(faultPaths(yaml).distinct()).containsExactlyInAnyOrder("workspaces/acme/per_model/chat")
        expectThat(faultPaths(yaml.replace("2000", "4000"))).isEmpty()
    }

    /** Guards against windows that never end and against a token that opens two workspaces. */
    @Test
    fun `windows and tokens are checked`() {
        val hash = "c".repeat(64)
        val yaml = """
            zones: {zone-a: {maintenance: {start: 2027-03-02T04:00:00Z, end: 2027-03-01T22:00:00Z}}}
            workspaces: {a: {token_sha256: [$hash]}, b: {token_sha256: [$hash]}}
        """
        expectThat(
            faultPaths(yaml),
        ).containsExactlyInAnyOrder("zones/zone-a/maintenance/end", "workspaces/b/token_sha256")
    }
}
