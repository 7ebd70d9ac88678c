/** A validation error in settings, as shown to the operator. */
package org.jujubelead.settings

/** Position in a settings file. Lines are numbered from 1; [line] is 0 for a merged tree, which has no lines. */
public data class SourcePosition(val file: String, val line: Int) {
    override fun toString(): String = if (line > 0) "$file:$line" else file
}

/**
 * A validation error.
 *
 * @property path path of the node or field, such as `workspaces/acme/share`.
 * @property found description of the invalid content.
 * @property allowed description of valid content.
 */
public data class ValidationError(
    val position: SourcePosition,
    val path: SettingsPath,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$position: $path: found $found; allowed: $allowed"
}
