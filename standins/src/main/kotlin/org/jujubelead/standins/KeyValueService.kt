/**
 * In-memory key-value service with compare-and-swap, leases, watches, rate limits and call counts.
 *
 * The state machine is synchronous and thread-safe, and takes the time as an argument, so that the HTTP stand-in and
 * tests in virtual time share it.
 */
package org.jujubelead.standins

import kotlinx.serialization.Serializable
import org.jujubelead.core.ids.Fence
import org.jujubelead.core.ids.OperationId
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.platform.LeaseGrant
import org.jujubelead.platform.Version
import org.jujubelead.platform.VersionedValue
import java.util.TreeMap

/** Calls a second that the service takes; a burst of one second is allowed. */
public data class KeyValueLimits(val writesPerSecond: Int = 400, val readsPerSecond: Int = 2_000)

/** Calls counted since the start, and the largest number in any one second. */
@Serializable
public data class KeyValueCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val limited: Long = 0,
    val peakReadsPerSecond: Int = 0,
    val peakWritesPerSecond: Int = 0,
)

/** One accepted write, in the order of acceptance. */
public data class AcceptedWrite(val key: String, val version: Version, val operation: OperationId?, val atMillis: Long)

/** Answer of the service to a write. */
public sealed interface WriteReply {
    public data class Written(val version: Version) : WriteReply

    public class Conflict(public val current: VersionedValue?) : WriteReply

    public data object Limited : WriteReply

    public data object TooLarge : WriteReply
}

private const val MILLIS_PER_SECOND = 1_000L

/** The service. All methods take the current time in milliseconds. */
public class KeyValueService(private val limits: KeyValueLimits = KeyValueLimits()) {
    private class Lease(val grant: LeaseGrant, val expiresMillis: Long)

    private class SecondCounter(private val limit: Int) {
        private var second = -1L
        private var count = 0
        var peak = 0
            private set

        fun take(nowMillis: Long): Boolean {
            val s = nowMillis / MILLIS_PER_SECOND
            if (s != second) {
                second = s
                count = 0
            }
            if (count >= limit) return false
            count += 1
            peak = maxOf(peak, count)
            return true
        }
    }

    private val values = TreeMap<String, VersionedValue>()
    private val leases = HashMap<String, Lease>()
    private val fences = HashMap<String, Long>()
    private val log = ArrayList<AcceptedWrite>()
    private val readCounter = SecondCounter(limits.readsPerSecond)
    private val writeCounter = SecondCounter(limits.writesPerSecond)
    private val listeners = LinkedHashSet<(String) -> Unit>()
    private var lastVersion = 0L
    private var reads = 0L
    private var writes = 0L
    private var limited = 0L

    /** Counts a read against the rate limit. */
    @Synchronized
    public fun admitRead(nowMillis: Long): Boolean = readCounter.take(nowMillis).also { if (it) reads++ else limited++ }

    @Synchronized
    private fun admitWrite(
        nowMillis: Long,
    ): Boolean = writeCounter.take(nowMillis).also { if (it) writes++ else limited++ }

    /** Reads a key without counting; callers use [admitRead] first. */
    @Synchronized
    public fun read(key: String): VersionedValue? = values[key]

    /** Keys that start with [prefix]. */
    @Synchronized
    public fun keys(prefix: String): List<String> =
        values.tailMap(prefix, true).keys.takeWhile { it.startsWith(prefix) }.toList()

    /** Compare-and-swap; a null [expected] creates the key only when absent. */
    public fun write(
        key: String,
        expected: Version?,
        bytes: ByteArray,
        operation: OperationId,
        nowMillis: Long,
    ): WriteReply {
        val reply = synchronized(this) {
            if (!admitWrite(nowMillis)) return WriteReply.Limited
            if (bytes.size > KeyValueStore.MAX_VALUE_BYTES) return WriteReply.TooLarge
            val current = values[key]
            if (current?.version != expected) return WriteReply.Conflict(current)
            lastVersion += 1
            val version = Version(lastVersion)
            values[key] = VersionedValue(version = version, bytes = bytes)
            log += AcceptedWrite(key = key, version = version, operation = operation, atMillis = nowMillis)
            WriteReply.Written(version)
        }
        notifyListeners(key)
        return reply
    }

    /** Deletes a key; false when the rate limit is used up. */
    public fun delete(key: String, nowMillis: Long): Boolean {
        synchronized(this) {
            if (!admitWrite(nowMillis)) return false
            values.remove(key)
        }
        notifyListeners(key)
        return true
    }

    /** Grants or extends a lease; null when someone else holds it. A rate limit is reported as held by no one. */
    @Synchronized
    public fun acquireLease(name: String, holder: String, ttlMillis: Long, nowMillis: Long): LeaseReply {
        if (!admitWrite(nowMillis)) return LeaseReply.Limited
        val current = leases[name]?.takeIf { it.expiresMillis > nowMillis }
        if (current != null && current.grant.holder != holder) return LeaseReply.Held(current.grant)
        val fence = current?.grant?.fence ?: Fence((fences[name] ?: 0L) + 1)
        fences[name] = fence.value
        val grant = LeaseGrant(name = name, holder = holder, fence = fence)
        leases[name] = Lease(grant = grant, expiresMillis = nowMillis + ttlMillis)
        return LeaseReply.Granted(grant)
    }

    /** Gives up a lease; false when the rate limit is used up. */
    @Synchronized
    public fun releaseLease(name: String, holder: String, nowMillis: Long): Boolean {
        if (!admitWrite(nowMillis)) return false
        if (leases[name]?.grant?.holder == holder) leases.remove(name)
        return true
    }

    /** Calls [listener] with each changed key, until the returned handle is closed. */
    public fun listen(listener: (String) -> Unit): AutoCloseable {
        synchronized(listeners) { listeners += listener }
        return AutoCloseable { synchronized(listeners) { listeners -= listener } }
    }

    /** All accepted writes in order. */
    @Synchronized
    public fun acceptedWrites(): List<AcceptedWrite> = log.toList()

    @Synchronized
    public fun counts(): KeyValueCounts = KeyValueCounts(
        reads = reads,
        writes = writes,
        limited = limited,
        peakReadsPerSecond = readCounter.peak,
        peakWritesPerSecond = writeCounter.peak,
    )

    private fun notifyListeners(key: String) {
        val current = synchronized(listeners) { listeners.toList() }
        current.forEach { it(key) }
    }
}

/** Answer to a lease call. */
public sealed interface LeaseReply {
    public data class Granted(val grant: LeaseGrant) : LeaseReply

    public data class Held(val by: LeaseGrant) : LeaseReply

    public data object Limited : LeaseReply
}
