/** Writes settings as YAML for [SettingsParser], with the revision as a comment in the first line. */
package org.jujubelead.settings

import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.SettingsTree
import org.yaml.snakeyaml.DumperOptions
import org.yaml.snakeyaml.Yaml

private const val REVISION_COMMENT = "# revision: "

public object SettingsYaml {
    /** Returns [tree] as YAML; [revision] is the base of later edits of the text. */
    public fun write(tree: SettingsTree, revision: Revision? = null): String {
        val options = DumperOptions().apply {
            defaultFlowStyle = DumperOptions.FlowStyle.BLOCK
            width = LINE_WIDTH
        }
        val header = revision?.let { "$REVISION_COMMENT$it\n" }.orEmpty()
        return header + Yaml(options).dump(nested(flatten(tree)))
    }

    /** Returns the revision from the comment in the first line of [text]; null if there is none. */
    public fun revisionOf(text: String): Revision? = text.lineSequence().firstOrNull()
        ?.takeIf { it.startsWith(REVISION_COMMENT) }
        ?.removePrefix(REVISION_COMMENT)?.trim()?.toLongOrNull()?.let(::Revision)

    private const val LINE_WIDTH = 120
}
