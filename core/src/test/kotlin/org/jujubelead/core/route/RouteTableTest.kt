package org.jujubelead.core.route

import org.jujubelead.core.ids.ServiceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private fun route(
        name: String,
        prefix: String,
        host: String = "a.example",
        services: List<WeightedService>? = null,
    ) =
        Route(
            name = name, host = host, pathPrefix = prefix, kind = RequestKind.Idempotent, timeout = 1.seconds,
            objective = 1.seconds, priority = 0, services = services ?: listOf(WeightedService(ServiceId("s"), 1)),
            maxAttempts = 1, anonymous = false,
        )

    private val table = RouteTable(
        listOf(route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", host = "b.example")),
    )

    /** Guards against matching a route with a shorter prefix. */
    @Test
    fun `the longest prefix wins`() {
        expectThat(table.find("a.example", "/a/b/c")?.name).isEqualTo("long")
        expectThat(table.find("a.example", "/a/bc")?.name).isEqualTo("short")
        expectThat(table.find("a.example", "/a/")?.name).isEqualTo("short")
    }

    /** Guards against matching a route of another host, and against missing a route because of port or case. */
    @Test
    fun `routes are matched by host, ignoring port and case`() {
        expectThat(table.find("B.example:8080", "/a/x")?.name).isEqualTo("other")
        expectThat(table.find("c.example", "/a/x")).isNull()
        expectThat(table.find("a.example", "/b/a/")).isNull()
        expectThat(table.find("a.example", "/a")).isNull()
    }

    @Test
    fun `requests are split by weight`() {
        val split =
            route("r", "/", services = listOf(WeightedService(ServiceId("x"), 9), WeightedService(ServiceId("y"), 1)))
        val counts = (0 until 1_000).groupingBy { split.serviceFor(it).value }.eachCount()
        expectThat(counts).isEqualTo(mapOf("x" to 900, "y" to 100))
    }
}
