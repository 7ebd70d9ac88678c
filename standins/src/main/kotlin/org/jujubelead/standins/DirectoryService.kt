/**
 * Simulation of the platform's instance list, which shows changes with a delay.
 *
 * A snapshot contains the changes that are older than the delay. A frozen list does not change.
 */
package org.jujubelead.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.platform.DirectoryError
import org.jujubelead.platform.InstanceDirectory
import java.util.TreeMap
import kotlin.time.Duration

/** The list. Times are in milliseconds. */
public class DirectoryService(lag: Duration = Duration.ZERO) {
    private class Change(val atMillis: Long, val id: String, val record: InstanceRecord?)

    private val actual = TreeMap<String, InstanceRecord>()
    private val visible = TreeMap<String, InstanceRecord>()
    private val pending = ArrayDeque<Change>()
    private val markedLeaving = HashSet<String>()
    private val ports = HashMap<String, Int>()

    /** Delay before a change becomes visible. */
    @get:Synchronized
    @set:Synchronized
    public var lag: Duration = lag

    /** True while no change becomes visible. */
    @get:Synchronized
    @set:Synchronized
    public var frozen: Boolean = false

    /** Adds or replaces the record of an instance. An instance marked by [markLeaving] stays leaving. */
    @Synchronized
    public fun announce(record: InstanceRecord, nowMillis: Long) {
        val state = if (record.id.value in markedLeaving) InstanceState.LEAVING else record.state
        change(record.id, record.copy(state = state), nowMillis)
    }

    /** Marks an instance as leaving. Returns false if it is not listed. */
    @Synchronized
    public fun markLeaving(id: InstanceId, nowMillis: Long): Boolean {
        val record = actual[id.value] ?: return false
        markedLeaving += id.value
        change(id, record.copy(state = InstanceState.LEAVING), nowMillis)
        return true
    }

    /** Removes an instance from the list. */
    @Synchronized
    public fun remove(id: InstanceId, nowMillis: Long) {
        markedLeaving -= id.value
        change(id, null, nowMillis)
    }

    /** The list as clients see it. */
    @Synchronized
    public fun snapshot(nowMillis: Long): List<InstanceRecord> {
        val visibleUntil = nowMillis - lag.inWholeMilliseconds
        while (!frozen && pending.isNotEmpty() && pending.first().atMillis <= visibleUntil) {
            val change = pending.removeFirst()
            if (change.record == null) visible.remove(change.id) else visible[change.id] = change.record
        }
        return visible.values.map { record -> record.copy(port = ports[record.id.value] ?: record.port) }
    }

    /** Replaces the listed port of an instance by that of a proxy which injects faults. */
    @Synchronized
    public fun reroute(id: InstanceId, port: Int) {
        ports[id.value] = port
    }

    private fun change(id: InstanceId, record: InstanceRecord?, nowMillis: Long) {
        if (record == null) actual.remove(id.value) else actual[id.value] = record
        pending += Change(atMillis = nowMillis, id = id.value, record = record)
    }
}

/** Client of the list in the same process. */
public class InMemoryInstanceDirectory(
    private val service: DirectoryService,
    private val nowMillis: () -> Long,
) : InstanceDirectory {
    /** False while the list cannot be reached. */
    @Volatile
    public var reachable: Boolean = true

    override suspend fun snapshot(): Result<List<InstanceRecord>, DirectoryError> =
        if (reachable) Ok(service.snapshot(nowMillis())) else unreachable()

    override suspend fun announce(record: InstanceRecord): Result<Unit, DirectoryError> =
        if (reachable) Ok(service.announce(record, nowMillis())) else unreachable()

    private fun unreachable() = Err(DirectoryError.Unavailable("the instance list cannot be reached"))
}
