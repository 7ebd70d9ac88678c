/** Counters and latency histograms of a gateway, in the text format of Prometheus. */
package org.jujubelead.gateway.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Durations are in seconds. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()

    /** Requests by result: `answered`, `abandoned`, or the reason of a refusal or a failure. */
    public val requests: Counter =
        Counter.builder().name("jujubelead_requests").help("Requests by result").labelNames("result").register(registry)

    /** Attempts by how they ended. */
    public val attempts: Counter =
        Counter.builder().name("jujubelead_attempts").help("Attempts by end").labelNames("end").register(registry)

    /** From the arrival of a request to its final answer. */
    public val duration: Histogram =
        Histogram.builder().name("jujubelead_request_seconds").help("Time to the final answer")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    /** From the arrival of a request to the first event of its stream. */
    public val firstEvent: Histogram =
        Histogram.builder().name("jujubelead_first_event_seconds").help("Time to the first event of a stream")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    /** All metrics as text. */
    public fun text(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private companion object {
        val BOUNDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
    }
}
