/** Errors of [SettingsStore]. */
package org.jujubelead.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision

/** Why settings could not be read or changed. */
public sealed interface SettingsStoreError {
    /** The key-value service did not answer; nothing was changed. */
    public data class Unavailable(val detail: String) : SettingsStoreError

    /** The change may have been accepted, now or a little later. Applying it again with [operation] tells. */
    public data class OutcomeUnknown(val operation: OperationId) : SettingsStoreError

    /** Someone else changed the same fields since the edit's base. Nothing was changed. */
    public data class Conflict(val current: Revision, val fields: List<FieldConflict>) : SettingsStoreError

    /** The settings, after merging with accepted changes, are not valid. Nothing was changed. */
    public data class Invalid(val faults: List<SettingsFault>) : SettingsStoreError

    /** The revision was never accepted, or is no longer kept. */
    public data class UnknownRevision(val revision: Revision) : SettingsStoreError

    /** A branch has [bytes] bytes, more than the key-value service takes. Nothing was changed. */
    public data class BranchTooLarge(val branch: String, val bytes: Int) : SettingsStoreError

    /** Stored settings cannot be read: [detail] names the key and what is wrong with it. */
    public data class Corrupt(val detail: String) : SettingsStoreError

    /** Other changes were accepted first in every attempt. Nothing was changed. */
    public data object Contended : SettingsStoreError
}
