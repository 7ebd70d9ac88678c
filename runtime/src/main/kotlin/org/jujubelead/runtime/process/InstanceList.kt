/** The platform's instance list, as this process last read it. */
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

/** Reads are spread by this part of the interval, so that processes started together do not read together. */
private const val JITTER = 0.3

/** Keeps the last list when the platform does not answer. */
public class InstanceList(private val directory: InstanceDirectory, private val now: () -> Timestamp) {
    private val current = MutableStateFlow<List<InstanceRecord>>(emptyList())

    /** The last list; empty before the first. */
    public val records: StateFlow<List<InstanceRecord>> = current.asStateFlow()

    /** Waits until the platform lists [incarnation] of [instance] as leaving. */
    public suspend fun awaitLeaving(instance: InstanceId, incarnation: Incarnation) {
        records.first { list ->
            list.any { it.id == instance && it.incarnation == incarnation && it.state == InstanceState.LEAVING }
        }
    }

    /** Reads the list about every [interval], and calls [onRead] with each and the time at which it was asked for. */
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
