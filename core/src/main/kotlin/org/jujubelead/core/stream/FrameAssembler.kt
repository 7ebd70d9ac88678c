/**
 * Puts the frames of one attempt in order on the receiving side.
 *
 * Frames can be repeated (after a resume), late (from an earlier attempt) or missing (after a broken connection). Only
 * the
 * next frame in sequence is delivered, and the answer is complete only with an end frame whose count matches.
 */
package org.jujubelead.core.stream

import org.jujubelead.core.ids.AttemptId

/** What to do with a received frame. */
public sealed interface FrameVerdict {
    /** The next frame: deliver it. */
    public data object Deliver : FrameVerdict

    /** Delivered before, or of another attempt: drop it. */
    public data class Drop(val reason: DropReason) : FrameVerdict

    /** Frames are missing before this one: resume from [expected]. */
    public data class Gap(val expected: Long) : FrameVerdict

    /** The end frame: the answer is whole. */
    public data object Complete : FrameVerdict
}

/** Why a frame is dropped. */
public enum class DropReason { OTHER_ATTEMPT, DUPLICATE, AFTER_END }

/** Immutable receiver state; [accept] gives the next state and the verdict. */
public data class FrameAssembler(
    val attempt: AttemptId,
    val next: Long = 0,
    val complete: Boolean = false,
) {
    /** Handles a frame with content at [sequence]. */
    public fun accept(attempt: AttemptId, sequence: Long): Pair<FrameAssembler, FrameVerdict> = when {
        attempt != this.attempt -> this to FrameVerdict.Drop(DropReason.OTHER_ATTEMPT)
        complete -> this to FrameVerdict.Drop(DropReason.AFTER_END)
        sequence < next -> this to FrameVerdict.Drop(DropReason.DUPLICATE)
        sequence > next -> this to FrameVerdict.Gap(expected = next)
        else -> copy(next = next + 1) to FrameVerdict.Deliver
    }

    /** Handles an end frame that counts [frames] frames before it. */
    public fun acceptEnd(attempt: AttemptId, frames: Long): Pair<FrameAssembler, FrameVerdict> = when {
        attempt != this.attempt -> this to FrameVerdict.Drop(DropReason.OTHER_ATTEMPT)
        complete -> this to FrameVerdict.Drop(DropReason.AFTER_END)
        frames != next -> this to FrameVerdict.Gap(expected = next)
        else -> copy(complete = true) to FrameVerdict.Complete
    }
}
