/**
 * Checks the order and completeness of the frames of one attempt on the receiving side.
 *
 * Frames can be duplicated (after a resume), stale (from an earlier attempt) or missing (after a lost connection). Only
 * the next frame in sequence is delivered, and the answer is complete only after an end frame with a matching count.
 */
package org.jujubelead.core.stream

import org.jujubelead.core.ids.AttemptId

/** What to do with a received frame. */
public sealed interface FrameVerdict {
    /** The next frame in sequence; deliver it. */
    public data object Deliver : FrameVerdict

    /** A duplicate, a frame of another attempt or a frame after the end; drop it. */
    public data class Drop(val reason: DropReason) : FrameVerdict

    /** Frames before this one are missing; resume from [expected]. */
    public data class Gap(val expected: Long) : FrameVerdict

    /** The end frame; the answer is complete. */
    public data object Complete : FrameVerdict
}

/** Why a frame is dropped. */
public enum class DropReason { OTHER_ATTEMPT, DUPLICATE, AFTER_END }

/** Immutable state of the receiver. [accept] and [acceptEnd] return the next state and the verdict. */
public data class FrameAssembler(
    val attempt: AttemptId,
    val next: Long = 0,
    val complete: Boolean = false,
) {
    /** Checks a content frame with the given [sequence] number. */
    public fun accept(attempt: AttemptId, sequence: Long): Pair<FrameAssembler, FrameVerdict> = when {
        attempt != this.attempt -> this to FrameVerdict.Drop(DropReason.OTHER_ATTEMPT)
        complete -> this to FrameVerdict.Drop(DropReason.AFTER_END)
        sequence < next -> this to FrameVerdict.Drop(DropReason.DUPLICATE)
        sequence > next -> this to FrameVerdict.Gap(expected = next)
        else -> copy(next = next + 1) to FrameVerdict.Deliver
    }

    /** Checks an end frame that reports [frames] preceding frames. */
    public fun acceptEnd(attempt: AttemptId, frames: Long): Pair<FrameAssembler, FrameVerdict> = when {
        attempt != this.attempt -> this to FrameVerdict.Drop(DropReason.OTHER_ATTEMPT)
        complete -> this to FrameVerdict.Drop(DropReason.AFTER_END)
        frames != next -> this to FrameVerdict.Gap(expected = next)
        else -> copy(complete = true) to FrameVerdict.Complete
    }
}
