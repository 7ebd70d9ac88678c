package org.jujubelead.cli.settings

import org.jujubelead.cli.CommandDefinition
import org.jujubelead.cli.ExitCode
import org.jujubelead.cli.runCommand
import org.jujubelead.standins.InMemoryKeyValueStore
import org.jujubelead.standins.KeyValueService
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream

class SettingsCommandsTest {
    @TempDir
    lateinit var folder: File

    private val service = KeyValueService()
    private val buffer = ByteArrayOutputStream()
    private val out = PrintStream(buffer, true)
    private val connect = { _: String -> InMemoryKeyValueStore(service, nowMillis = System::currentTimeMillis) }
    private val entries = listOf(
        CommandDefinition("settings check", "check") { SettingsCheck(out, out) },
        CommandDefinition("settings get", "get") { SettingsGet(out, out, connect) },
        CommandDefinition("settings diff", "diff") { SettingsDiff(out, out, connect) },
        CommandDefinition("settings apply", "apply") { SettingsApply(out, out, connect) },
        CommandDefinition("settings history", "history") { SettingsHistoryCommand(out, out, connect) },
        CommandDefinition("settings rollback", "rollback") { SettingsRollback(out, out, connect) },
    )

    /** Returns the exit code and output of a command. */
    private fun run(vararg args: String): Pair<Int, String> {
        buffer.reset()
        val store = if (args[0] == "check") emptyList() else listOf("--kv", "http://127.0.0.1:1")
        val code = runCommand(listOf("settings") + args + store, entries, out, out)
        return code to buffer.toString()
    }

    private fun file(name: String, text: String): String = File(folder, name).apply { writeText(text) }.path

    private val sample = """
        zones: {zone-a: {drain_lead_s: 90}}
        models: {chat: {ranks: 8}}
        workspaces: {acme: {models: [chat], share: 2.0, per_model: {chat: {request_timeout_ms: 5000}}}}
    """.trimIndent()

    /** Guards against a check that omits errors or exits with 0 for an invalid file. */
    @Test
    fun `check reports all errors`() {
        val (code, text) = run("check", file("a.yaml", "defaults: {sharr: 1}\nmodels: {chat: {ranks: -1}}\n"))
        expectThat(code).isEqualTo(ExitCode.USAGE)
        expectThat(
            text,
        ).contains("a.yaml:1: defaults/sharr").contains("a.yaml:2: models/chat/ranks").contains("2 errors")
        expectThat(run("check", file("b.yaml", sample)).first).isEqualTo(ExitCode.OK)
    }

    /** Guards against an edit that reverts another one because its base revision is unknown. */
    @Test
    fun `concurrent edits are merged or rejected as conflicts`() {
        expectThat(run("apply", file("first.yaml", sample)).second).contains("revision 1")
        val (_, yaml) = run("get")
        expectThat(run("apply", file("a.yaml", yaml.replace("share: 2.0", "share: 3.0"))).second).contains("revision 2")
        expectThat(run("apply", file("b.yaml", yaml.replace("ranks: 8", "ranks: 16"))).second).contains("revision 3")
        val (code, text) = run("apply", file("c.yaml", yaml.replace("share: 2.0", "share: 4.0")))
        expectThat(code).isEqualTo(ExitCode.FAILED)
        expectThat(text).contains("workspaces/acme/share: accepted 3.0, yours 4.0, before 2.0")
        expectThat(run("apply", file("d.yaml", sample)).first).isEqualTo(ExitCode.USAGE)
    }

    /** Guards against effective values with a wrong origin. */
    @Test
    fun `effective values include the node that sets them`() {
        run("apply", file("first.yaml", sample))
        val (_, text) = run("get", "workspaces/acme/per_model/chat", "--effective", "--zone", "zone-a")
        val lines = text.lines().map { it.trim().replace(Regex(" +"), " ") }
        expectThat(lines).contains("request_timeout_ms 5000 workspaces/acme/per_model/chat")
        expectThat(lines).contains("share 2.0 workspaces/acme")
        expectThat(lines).contains("drain_lead_s 90 zones/zone-a")
        expectThat(lines).contains("priority 0 (default)")
        expectThat(run("get", "workspaces/other", "--effective").first).isEqualTo(ExitCode.FAILED)
    }

    /** Guards against a rollback that is missing from the history or from a diff. */
    @Test
    fun `a rollback creates a new revision`() {
        run("apply", file("first.yaml", sample))
        run("apply", "--base", "1", file("a.yaml", sample.replace("2.0", "3.0")))
        expectThat(run("diff", "--from", "1").second).contains("~ workspaces/acme/share: 2.0 -> 3.0")
        expectThat(run("rollback", "1").second).contains("revision 3")
        expectThat(run("diff", "--from", "1").second).contains("0 differences")
        expectThat(run("history").second.lines().first()).contains("rollback to revision 1")
        expectThat(run("rollback", "77").second).contains("revision 77 does not exist")
    }
}
