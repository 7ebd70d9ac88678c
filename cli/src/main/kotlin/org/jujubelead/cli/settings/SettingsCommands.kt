package org.jujubelead.cli.settings

import org.jujubelead.cli.CommandDefinition

public val settingsCommands: List<CommandDefinition> = listOf(
    CommandDefinition("settings check", "validate a file and report all errors", ::SettingsCheck),
    CommandDefinition("settings get", "print accepted settings, or the effective values of a node", ::SettingsGet),
    CommandDefinition("settings diff", "compare a file or a revision with accepted settings", ::SettingsDiff),
    CommandDefinition("settings apply", "apply a file, merging it with concurrent changes", ::SettingsApply),
    CommandDefinition("settings history", "list accepted changes", ::SettingsHistoryCommand),
    CommandDefinition("settings rollback", "apply an earlier revision as a new revision", ::SettingsRollback),
)
