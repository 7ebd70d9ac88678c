/** Traces of recent requests, for `jujubelead explain`. */
package org.jujubelead.runtime.entry

import org.jujubelead.core.ids.RequestId
import org.jujubelead.core.time.Timestamp

/** Uses about 5 MB at ten steps per request. */
private const val MAX_TRACES = 8_192

/** Steps stored per request. */
private const val MAX_STEPS = 64

private const val INITIAL_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** Thread-safe. The oldest request is evicted first. */
public class RequestTraces(private val now: () -> Timestamp) {
    private class Step(val at: Timestamp, val text: String)

    private val traces = object : LinkedHashMap<RequestId, ArrayList<Step>>(INITIAL_CAPACITY, LOAD_FACTOR, false) {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, ArrayList<Step>>): Boolean = size > MAX_TRACES
    }

    /** Adds a step to the trace of a request. */
    public fun add(request: RequestId, text: String): Unit = synchronized(traces) {
        val steps = traces.getOrPut(request) { ArrayList() }
        if (steps.size < MAX_STEPS) steps += Step(at = now(), text = text)
    }

    /** Returns the steps of a request, one per line, with the time since the first step; null if it has no trace. */
    public fun explain(request: RequestId): String? = synchronized(traces) {
        val steps = traces[request] ?: return null
        val start = steps.first().at
        steps.joinToString("\n") { "+%6d ms  %s".format((it.at - start).inWholeMilliseconds, it.text) }
    }
}
