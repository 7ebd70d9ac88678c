/** One reason why settings are not valid, as it is shown to the operator. */
package org.jujubelead.settings

/** Position in a settings file; lines count from 1. A merged tree has no line: [line] is then 0. */
public data class SourcePosition(val file: String, val line: Int) {
    override fun toString(): String = if (line > 0) "$file:$line" else file
}

/**
 * A fault.
 *
 * @property path node and field, such as `workspaces/acme/share`.
 * @property found what the file contains.
 * @property allowed what may stand there.
 */
public data class SettingsFault(
    val position: SourcePosition,
    val path: SettingsPath,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$position: $path: found $found; allowed: $allowed"
}
