/** The commands for settings. */
package org.jujubelead.cli.settings

import org.jujubelead.cli.CommandEntry

public val settingsCommands: List<CommandEntry> = listOf(
    CommandEntry("settings check", "check a file and report every fault", ::SettingsCheck),
    CommandEntry("settings get", "print accepted settings, or the values in force at a node", ::SettingsGet),
    CommandEntry("settings diff", "compare a file or a revision with accepted settings", ::SettingsDiff),
    CommandEntry("settings apply", "propose a file and merge it with other changes", ::SettingsApply),
    CommandEntry("settings history", "list accepted changes", ::SettingsHistoryCommand),
    CommandEntry("settings rollback", "put an earlier revision in force again, as a new revision", ::SettingsRollback),
)
