/** Messages to a [ClaimShard] and the effects that it returns. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp

/** Identifies a pending request for a key. */
@JvmInline
public value class Ticket(public val value: Long)

public sealed interface ShardMessage {
    /** Requests a key; answered no later than [deadline]. */
    public data class Ask(val ticket: Ticket, val request: ClaimRequest, val deadline: Timestamp) : ShardMessage

    /** The entry was written at position [sequence] of the log. */
    public data class Appended(val operation: OperationId, val sequence: Long) : ShardMessage

    /** No write of the entry has taken effect or still can. No further write starts before [retryAt]. */
    public data class NotAppended(val operation: OperationId, val retryAt: Timestamp) : ShardMessage

    /** Another owner wrote to the log position. Nothing was written, and this instance no longer owns the shard. */
    public data class Superseded(val operation: OperationId, val owner: InstanceId?) : ShardMessage

    /** The entry may have been written, and its outcome can no longer be determined. */
    public data class OutcomeUnknown(val operation: OperationId) : ShardMessage

    /** This instance gives up ownership. A write in flight is still completed by one of the messages above. */
    public data class Close(val hint: InstanceId?) : ShardMessage

    /** The time returned by [ClaimShard.wakeAt] was reached. */
    public data object Wake : ShardMessage
}

public sealed interface ShardEffect {
    /**
     * Writes an entry. The caller reports the outcome by [ShardMessage.Appended], [ShardMessage.NotAppended],
     * [ShardMessage.Superseded] or [ShardMessage.OutcomeUnknown].
     */
    public data class Append(val operation: OperationId, val claims: List<Claim>) : ShardEffect

    public data class Answer(val ticket: Ticket, val answer: ClaimAnswer) : ShardEffect
}
