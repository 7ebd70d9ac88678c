/** Comparison of trees and three-way merge, field by field. */
package org.jujubelead.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.jujubelead.protocol.SettingsTree
import java.util.TreeMap

/** One field or node that differs; null means absent. */
public data class FieldChange(val path: SettingsPath, val before: FieldValue?, val after: FieldValue?) {
    override fun toString(): String = when {
        before == null -> "+ $path${text(after)}"
        after == null -> "- $path${text(before)}"
        else -> "~ $path: $before -> $after"
    }

    private fun text(value: FieldValue?) = if (value == FieldValue.Present) "" else ": $value"
}

/**
 * A field that both sides changed since [base], to different values.
 *
 * @property accepted value in the accepted revision.
 * @property proposed value in the edit that was refused.
 */
public data class FieldConflict(
    val path: SettingsPath,
    val base: FieldValue?,
    val accepted: FieldValue?,
    val proposed: FieldValue?,
) {
    override fun toString(): String =
        "$path: accepted ${accepted ?: "absent"}, yours ${proposed ?: "absent"}, before ${base ?: "absent"}"
}

/** Lists the differences in the order of their paths. */
public fun diff(before: SettingsTree, after: SettingsTree): List<FieldChange> {
    val old = flatten(before)
    val new = flatten(after)
    return (old.keys + new.keys).toSortedSet()
        .filter { old[it] != new[it] }
        .map { FieldChange(path = it, before = old[it], after = new[it]) }
}

/**
 * Applies the changes from [base] to [proposed] to [accepted]. The result conflicts when both sides changed a field to
 * different values, or when one side removed a node in which the other set a field.
 */
public fun merge(
    base: SettingsTree,
    accepted: SettingsTree,
    proposed: SettingsTree,
): Result<SettingsTree, List<FieldConflict>> {
    val old = flatten(base)
    val theirs = flatten(accepted)
    val ours = flatten(proposed)
    val conflicts = ArrayList<FieldConflict>()
    val merged = TreeMap<SettingsPath, FieldValue>()
    (old.keys + theirs.keys + ours.keys).forEach { path ->
        val before = old[path]
        val chosen = when {
            ours[path] == before -> theirs[path]

            theirs[path] == before || theirs[path] == ours[path] -> ours[path]

            else -> {
                conflicts += FieldConflict(path, base = before, accepted = theirs[path], proposed = ours[path])
                null
            }
        }
        if (chosen != null) merged[path] = chosen
    }
    // A node is in the flat form of a tree whenever one of its fields is, so a missing one was removed by one side.
    val nodes = (old.keys + theirs.keys + ours.keys).filter {
        listOf(old[it], theirs[it], ours[it]).any { value -> value == FieldValue.Present }
    }.filter { it !in merged }.toSet()
    merged.keys.forEach { path ->
        val removed = generateSequence(path.parent) { it.parent }.firstOrNull { it in nodes }
        if (removed != null) {
            conflicts += FieldConflict(path, base = old[path], accepted = theirs[path], proposed = ours[path])
        }
    }
    return if (conflicts.isEmpty()) Ok(unflatten(merged)) else Err(conflicts.sortedBy { it.path })
}
