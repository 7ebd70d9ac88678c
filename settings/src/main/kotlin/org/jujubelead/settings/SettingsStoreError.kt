/** Errors of [SettingsStore]. */
package org.jujubelead.settings

import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.ids.Revision

/** Why settings could not be read or changed. */
public sealed interface SettingsStoreError {
    /** The key-value service is unavailable. Nothing was changed. */
    public data class Unavailable(val detail: String) : SettingsStoreError

    /** The change may have been or may still be accepted. Applying it again with [operation] returns its outcome. */
    public data class OutcomeUnknown(val operation: OperationId) : SettingsStoreError

    /** The same fields were changed concurrently since the base of the edit. Nothing was changed. */
    public data class Conflict(val current: Revision, val fields: List<FieldConflict>) : SettingsStoreError

    /** The settings are invalid after merging them with accepted changes. Nothing was changed. */
    public data class Invalid(val errors: List<ValidationError>) : SettingsStoreError

    /** The revision was never accepted, or is no longer retained. */
    public data class UnknownRevision(val revision: Revision) : SettingsStoreError

    /** A branch has [bytes] bytes, more than the key-value service accepts. Nothing was changed. */
    public data class BranchTooLarge(val branch: String, val bytes: Int) : SettingsStoreError

    /** Stored settings are corrupt. [detail] names the key and the problem. */
    public data class Corrupt(val detail: String) : SettingsStoreError

    /** A concurrent change was accepted first in every attempt. Nothing was changed. */
    public data object Contended : SettingsStoreError
}
