package org.jujubelead.settings

import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import org.jujubelead.core.ids.Revision
import org.jujubelead.protocol.SettingsTree
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.File

class SettingsReferenceTest {
    private val page = File("../docs/settings.md")

    /** Guards against a reference page whose fields, ranges or defaults differ from the code. */
    @Test
    fun `the reference page is up to date`() {
        if (System.getenv("UPDATE_DOCS") != null) page.writeText(settingsReference())
        expectThat(page.readText()).isEqualTo(settingsReference())
        tree(page.readText().substringAfter("```yaml\n").substringBefore("```"))
    }

    /** Guards against schema fields without a range and without an entry on the page. */
    @Test
    fun `the field table covers the schema`() {
        fieldsBelow(SettingsTree.getDescriptor()).forEach { expectThat(specOf(it)).isNotNull() }
    }

    private fun fieldsBelow(type: Descriptor): List<FieldDescriptor> = type.fields.flatMap { field ->
        when {
            field.isMapField -> fieldsBelow(valueType(field))
            field.javaType == FieldDescriptor.JavaType.MESSAGE -> fieldsBelow(field.messageType)
            else -> listOf(field)
        }
    }

    /** Guards against settings that change when an operator exports and reapplies them. */
    @Test
    fun `settings survive a round trip through YAML`() {
        val text = SettingsYaml.write(tree(), Revision(7))
        expectThat(tree(text)).isEqualTo(tree())
        expectThat(SettingsYaml.revisionOf(text)).isEqualTo(Revision(7))
    }
}
