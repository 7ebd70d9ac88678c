/** Cached copy of the platform's instance list. */
package org.jujubelead.runtime.process

import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.InstanceDirectory
import org.jujubelead.runtime.telemetry.Event
import kotlin.random.Random
import kotlin.time.Duration

/** Random fraction of the interval, so that processes started together do not read the list at the same time. */
private const val JITTER = 0.3

/** Polls the instance list. Keeps the latest list while the platform does not answer. */
public class InstanceList(private val directory: InstanceDirectory, private val now: () -> Timestamp) {
    private val current = MutableStateFlow<List<InstanceRecord>>(emptyList())

    /** The latest list; empty until the first read succeeds. */
    public val records: StateFlow<List<InstanceRecord>> = current.asStateFlow()

    /** Waits until the platform lists [incarnation] of [instance] as leaving. */
    public suspend fun awaitLeaving(instance: InstanceId, incarnation: Incarnation) {
        records.first { list ->
            list.any { it.id == instance && it.incarnation == incarnation && it.state == InstanceState.LEAVING }
        }
    }

    /** Reads the list about every [interval] and calls [onRead] with each list and the time of its request. */
    public suspend fun follow(
        interval: Duration,
        onRead: suspend (List<InstanceRecord>, Timestamp) -> Unit = { _, _ -> },
    ) {
        while (true) {
            val requestedAt = now()
            directory.snapshot().fold(
                success = { records ->
                    current.value = records
                    onRead(records, requestedAt)
                },
                failure = { Event.DIRECTORY_UNAVAILABLE.log("$it") },
            )
            delay(interval * Random.nextDouble(1 - JITTER, 1 + JITTER))
        }
    }
}
