/** Messages to and effects of a [ClaimShard]. */
package org.jujubelead.core.claim

import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.OperationId
import org.jujubelead.core.time.Timestamp

/** Identifies a caller that waits for an answer. */
@JvmInline
public value class Ticket(public val value: Long)

/** Message to a shard. */
public sealed interface ShardMessage {
    /** Asks for a key; answered no later than [deadline]. */
    public data class Ask(val ticket: Ticket, val request: ClaimRequest, val deadline: Timestamp) : ShardMessage

    /** The entry was written at [sequence]. */
    public data class Appended(val operation: OperationId, val sequence: Long) : ShardMessage

    /** No write of the entry has taken effect or can; the next is not tried before [retryAt]. */
    public data class NotAppended(val operation: OperationId, val retryAt: Timestamp) : ShardMessage

    /** Another owner has the position: nothing was written, and this instance is not the owner. */
    public data class Superseded(val operation: OperationId, val owner: InstanceId?) : ShardMessage

    /** The entry may have been written, and this can no longer be found out. */
    public data class OutcomeUnknown(val operation: OperationId) : ShardMessage

    /** This instance stops as the owner. An entry in flight is still settled by the messages above. */
    public data class Close(val hint: InstanceId?) : ShardMessage

    /** Time has passed. */
    public data object Wake : ShardMessage
}

/** Effect of a message. */
public sealed interface ShardEffect {
    /** Writes an entry. The runner settles it with one of the four messages about its outcome. */
    public data class Append(val operation: OperationId, val claims: List<Claim>) : ShardEffect

    public data class Answer(val ticket: Ticket, val answer: ClaimAnswer) : ShardEffect
}
