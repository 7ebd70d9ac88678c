/** Path of a node or field in the settings tree, such as `workspaces/acme/share`. */
package org.jujubelead.settings

/** A path. [text] contains the segments separated by slashes, and is empty for the root. */
@JvmInline
public value class SettingsPath(public val text: String) : Comparable<SettingsPath> {
    public val segments: List<String> get() = if (text.isEmpty()) emptyList() else text.split('/')

    public val parent: SettingsPath? get() = if (text.isEmpty()) {
        null
    } else {
        SettingsPath(
            text.substringBeforeLast('/', ""),
        )
    }

    public operator fun div(segment: String): SettingsPath =
        SettingsPath(if (text.isEmpty()) segment else "$text/$segment")

    /** Whether this path equals [other] or is an ancestor of it. */
    public fun contains(other: SettingsPath): Boolean =
        text.isEmpty() || other.text == text || other.text.startsWith("$text/")

    override fun compareTo(other: SettingsPath): Int = text.compareTo(other.text)

    override fun toString(): String = text.ifEmpty { "(root)" }

    public companion object {
        public val ROOT: SettingsPath = SettingsPath("")
    }
}
