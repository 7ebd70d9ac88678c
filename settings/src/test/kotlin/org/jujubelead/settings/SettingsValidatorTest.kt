package org.jujubelead.settings

import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty

class SettingsValidatorTest {
    private fun errorPaths(yaml: String): List<String> =
        SettingsParser.parse(yaml.trimIndent(), "test.yaml").getError().orEmpty().map { it.path.text }

    /** Guards against references to models and services that do not exist. */
    @Test
    fun `referenced models and services must exist`() {
        val yaml = """
            models: {chat: }
            services: {booking: {path_prefix: /booking}}
            workspaces:
              acme: {models: [chat, chatt], services: [bookings], per_service: {booking: {share: 2}}}
        """
        expectThat(errorPaths(yaml)).containsExactlyInAnyOrder(
            "workspaces/acme/models",
            "workspaces/acme/services",
            "workspaces/acme/per_service/booking",
        )
    }

    /** Guards against requests that match two services, and services that shadow paths of the load balancer. */
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
        expectThat(errorPaths(yaml)).containsExactlyInAnyOrder(
            "services/c/path_prefix",
            "services/d/path_prefix",
            "services/e/path_prefix",
            "services/f/path_prefix",
            "services/g/path_prefix",
        )
    }

    /** Guards against values that are valid individually but contradict each other after inheritance. */
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
        expectThat(errorPaths(yaml).distinct()).containsExactlyInAnyOrder("workspaces/acme/per_model/chat")
        expectThat(errorPaths(yaml.replace("2000", "4000"))).isEmpty()
    }

    /** Guards against windows that end before they start, and tokens that identify two workspaces. */
    @Test
    fun `maintenance windows and tokens are checked`() {
        val hash = "c".repeat(64)
        val yaml = """
            zones: {zone-a: {maintenance: {start: 2027-03-02T04:00:00Z, end: 2027-03-01T22:00:00Z}}}
            workspaces: {a: {token_sha256: [$hash]}, b: {token_sha256: [$hash]}}
        """
        expectThat(
            errorPaths(yaml),
        ).containsExactlyInAnyOrder("zones/zone-a/maintenance/end", "workspaces/b/token_sha256")
    }
}
