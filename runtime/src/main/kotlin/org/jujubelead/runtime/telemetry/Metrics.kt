/** Prometheus metrics of a process. Metric names include their unit. */
package org.jujubelead.runtime.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.instrumentation.jvm.JvmMemoryMetrics
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** There is one instance per process. */
public class Metrics {
    private val registry = PrometheusRegistry()

    /** Requests of callers by kind (model, service) and result (a problem code, or ok). */
    public val requests: Counter = Counter.builder()
        .name("jujubelead_requests_total")
        .help("Requests of callers by kind and result.")
        .labelNames("kind", "result")
        .register(registry)

    public val attempts: Counter = Counter.builder()
        .name("jujubelead_attempts_total")
        .help("Attempts on targets by result.")
        .labelNames("result")
        .register(registry)

    public val firstToken: Histogram = Histogram.builder()
        .name("jujubelead_first_token_seconds")
        .help("Time from a model request to its first token.")
        .register(registry)

    public val inFlight: Gauge = Gauge.builder()
        .name("jujubelead_requests_in_progress")
        .help("Requests in progress.")
        .register(registry)

    public val settingsRevision: Gauge = Gauge.builder()
        .name("jujubelead_settings_revision")
        .help("Settings revision in force.")
        .register(registry)

    public val tokens: Counter = Counter.builder()
        .name("jujubelead_tokens_total")
        .help("Tokens delivered to callers.")
        .register(registry)

    init {
        JvmMemoryMetrics.builder().register(registry)
        ProcessMetrics.builder().register(registry)
    }

    /** Encodes all metrics in the Prometheus text format. */
    public fun scrape(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
