/** Writes settings as YAML that [SettingsParser] reads back, with the revision in a comment in the first line. */
package org.jujubelead.settings

import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.SettingsTree
import org.yaml.snakeyaml.DumperOptions
import org.yaml.snakeyaml.Yaml

private const val REVISION_COMMENT = "# revision: "

/** The YAML form. */
public object SettingsYaml {
    /** Writes [tree]; an edit of the text is based on [revision]. */
    public fun write(tree: SettingsTree, revision: Revision? = null): String {
        val options = DumperOptions().apply {
            defaultFlowStyle = DumperOptions.FlowStyle.BLOCK
            width = LINE_WIDTH
        }
        val header = revision?.let { "$REVISION_COMMENT$it\n" }.orEmpty()
        return header + Yaml(options).dump(nested(flatten(tree)))
    }

    /** The revision that [text] was read at, when its first line tells. */
    public fun revisionOf(text: String): Revision? = text.lineSequence().firstOrNull()
        ?.takeIf { it.startsWith(REVISION_COMMENT) }
        ?.removePrefix(REVISION_COMMENT)?.trim()?.toLongOrNull()?.let(::Revision)

    private const val LINE_WIDTH = 120
}
