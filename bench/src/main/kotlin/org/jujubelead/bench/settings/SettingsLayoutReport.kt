/** Sizes of the stored settings at the design size: 3,400 workspaces, 10 models and 12 zones. */
package org.jujubelead.bench.settings

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision
import org.jujubelead.platform.KeyValueStore
import org.jujubelead.protocol.SettingsTree
import org.jujubelead.settings.SettingsEdit
import org.jujubelead.settings.SettingsStore
import org.jujubelead.settings.SettingsValidator
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueLimits
import org.jujubelead.standins.KeyValueService
import java.time.Instant
import kotlin.random.Random
import kotlin.system.measureNanoTime

private const val TARGET_WORKSPACES = 3_400
private const val CHANGES = 20
private const val TREE_COPIES = 10
private const val BYTES_PER_MB = 1_000_000.0

/** Prints the sizes of the stored settings, the cost of a change and the heap size of a tree. */
internal class SettingsLayoutReport(private val seed: Long) {
    private val service = KeyValueService(KeyValueLimits(writesPerSecond = 10_000, readsPerSecond = 100_000))
    private val store = SettingsStore(InMemoryKeyValueStore(service, System::currentTimeMillis), Random(seed))

    private fun apply(revision: Long, tree: SettingsTree) = runBlocking {
        val base = (revision - 1).takeIf { it > 0 }?.let(::Revision)
        store.apply(SettingsEdit(OperationId("op-$revision"), "bench", "change", Instant.now(), base, tree))
            .getOrElse { error("revision $revision was not accepted: $it") }
    }

    private fun sizes(prefix: String): List<Int> = service.keys(prefix).map { service.read(it)?.bytes?.size ?: 0 }

    /** Prints the report. Returns false if a stored value exceeds the size limit of the key-value service. */
    fun print(): Boolean {
        var tree = sampleTree(TARGET_WORKSPACES, seed)
        apply(1, tree)
        val branches = sizes("settings/branch/")
        val maxValueBytes = sizes("settings/").max()
        println("layout: $TARGET_WORKSPACES workspaces, tree ${tree.serializedSize} B, ${branches.size} branches,")
        val root = sizes("settings/root")[0]
        println("  mean branch %.0f B, root %d B, largest value %d B".format(branches.average(), root, maxValueBytes))

        val writes = service.counts().writes
        val reads = service.counts().reads
        val before = sizes("settings/").sum()
        repeat(CHANGES) { n ->
            tree = tree.withShare(workspace = n, share = 1.0 + n)
            apply(n + 2L, tree)
        }
        val counts = service.counts()
        val perChange = arrayOf<Any>(
            (counts.writes - writes).toDouble() / CHANGES,
            (counts.reads - reads).toDouble() / CHANGES,
            (sizes("settings/").sum() - before) / CHANGES,
        )
        println("  one change: %.1f writes, %.1f reads by the operator, %d B kept".format(*perChange))
        val workspace = tree.getWorkspacesOrThrow("workspace-0001").serializedSize
        println("  one workspace $workspace B, root after $CHANGES changes ${sizes("settings/root")[0]} B")
        val nanos = measureNanoTime { SettingsValidator.validate(tree) }
        println("  validation of the whole tree: %.0f ms".format(nanos / NANOS_PER_MILLI))
        printHeap(tree)
        return maxValueBytes <= KeyValueStore.MAX_VALUE_BYTES
    }

    private fun printHeap(tree: SettingsTree) {
        val bytes = tree.toByteArray()
        val before = usedHeap()
        val copies = List(TREE_COPIES) { SettingsTree.parseFrom(bytes) }
        println("  heap of one tree: %.1f MB".format((usedHeap() - before) / BYTES_PER_MB / copies.size))
    }

    private fun usedHeap(): Long {
        repeat(2) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
