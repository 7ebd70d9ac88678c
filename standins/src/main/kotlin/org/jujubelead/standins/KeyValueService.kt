/**
 * Simulated key-value service, in memory, with compare-and-swap, leases, watches, rate limits and call counts.
 *
 * It is synchronous and thread-safe, and takes the time as an argument, so that the HTTP server and tests in virtual
 * time share it.
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

/** Maximum number of calls per second, counted in fixed windows of one second. */
public data class KeyValueLimits(val writesPerSecond: Int = 400, val readsPerSecond: Int = 2_000)

/** Number of calls since the start, and the maximum in any one second. */
@Serializable
public data class KeyValueCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val limited: Long = 0,
    val peakReadsPerSecond: Int = 0,
    val peakWritesPerSecond: Int = 0,
)

/** One accepted write. */
public data class AcceptedWrite(val key: String, val version: Version, val operation: OperationId?, val atMillis: Long)

/** Result of a write. */
public sealed interface WriteReply {
    public data class Written(val version: Version) : WriteReply

    public class Conflict(public val current: VersionedValue?) : WriteReply

    public data object Limited : WriteReply

    public data object TooLarge : WriteReply
}

private const val MILLIS_PER_SECOND = 1_000L

/** The service. Times are in milliseconds. */
public class KeyValueService(private val limits: KeyValueLimits = KeyValueLimits()) {
    private class Lease(val grant: LeaseGrant, val expiresMillis: Long)

    private class SecondCounter(private val limit: Int) {
        private var second = -1L
        private var count = 0
        var peak = 0
            private set

        fun tryAcquire(nowMillis: Long): Boolean {
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

    /** Counts a read towards the rate limit. Returns false if the limit is exceeded. */
    @Synchronized
    public fun admitRead(nowMillis: Long): Boolean =
        readCounter.tryAcquire(nowMillis).also { if (it) reads++ else limited++ }

    @Synchronized
    private fun admitWrite(nowMillis: Long): Boolean =
        writeCounter.tryAcquire(nowMillis).also { if (it) writes++ else limited++ }

    /** Reads a key without a rate limit; callers call [admitRead] first. */
    @Synchronized
    public fun read(key: String): VersionedValue? = values[key]

    /** Keys that start with [prefix], in lexical order. */
    @Synchronized
    public fun keys(prefix: String): List<String> =
        values.tailMap(prefix, true).keys.takeWhile { it.startsWith(prefix) }.toList()

    /** Writes the key if it has version [expected]; null means that the key must not exist. */
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

    /** Deletes a key. Returns false if the rate limit is exceeded. */
    public fun delete(key: String, nowMillis: Long): Boolean {
        synchronized(this) {
            if (!admitWrite(nowMillis)) return false
            values.remove(key)
        }
        notifyListeners(key)
        return true
    }

    /** Grants a free or expired lease, or extends a lease that [holder] already has. */
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

    /** Releases the lease if [holder] has it. Returns false if the rate limit is exceeded. */
    @Synchronized
    public fun releaseLease(name: String, holder: String, nowMillis: Long): Boolean {
        if (!admitWrite(nowMillis)) return false
        if (leases[name]?.grant?.holder == holder) leases.remove(name)
        return true
    }

    /** Calls [listener] with each changed key until the returned handle is closed. */
    public fun listen(listener: (String) -> Unit): AutoCloseable {
        synchronized(listeners) { listeners += listener }
        return AutoCloseable { synchronized(listeners) { listeners -= listener } }
    }

    /** All accepted writes, in the order of acceptance. */
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

/** Result of a lease request. */
public sealed interface LeaseReply {
    public data class Granted(val grant: LeaseGrant) : LeaseReply

    public data class Held(val by: LeaseGrant) : LeaseReply

    public data object Limited : LeaseReply
}
