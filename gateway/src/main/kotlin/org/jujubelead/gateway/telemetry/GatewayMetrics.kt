/** Counters and latency histograms of a gateway in the Prometheus text format. */
package org.jujubelead.gateway.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Metrics of one gateway. Durations are in seconds. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()

    /** Requests by result: `answered`, `abandoned`, or the reason of a refusal or failure. */
    public val requests: Counter =
        Counter.builder().name("jujubelead_requests").help("Requests by result").labelNames("result").register(registry)

    /** Attempts by result. */
    public val attempts: Counter =
        Counter.builder().name("jujubelead_attempts").help("Attempts by end").labelNames("end").register(registry)

    /** Time from the arrival of a request to its final response. */
    public val duration: Histogram =
        Histogram.builder().name("jujubelead_request_seconds").help("Time to the final answer")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    /** Time from the arrival of a request to the first event of its stream. */
    public val firstEvent: Histogram =
        Histogram.builder().name("jujubelead_first_event_seconds").help("Time to the first event of a stream")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    /** How late repeated tasks of the data plane's event loop have run. */
    public val loopDelay: Histogram =
        Histogram.builder().name("jujubelead_event_loop_delay_seconds").help("Delay of tasks of the event loop")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    /** Returns all metrics in text format. */
    public fun text(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private companion object {
        val BOUNDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
    }
}
