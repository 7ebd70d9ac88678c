/** Sequential composition of [Result] values, also in suspending code. */
package org.jujubelead.settings

import arrow.core.raise.Raise
import arrow.core.raise.either
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/** Scope in which [bind] unwraps results. */
internal class ResultScope<E>(raise: Raise<E>) : Raise<E> by raise {
    /** Returns the value, or ends the enclosing [resultOf] block with the error. */
    fun <V> Result<V, E>.bind(): V = getOrElse { raise(it) }
}

/** Runs [block] and returns its value, or the first error raised in it. */
internal inline fun <V, E> resultOf(block: ResultScope<E>.() -> V): Result<V, E> =
    either { ResultScope(this).block() }.fold({ Err(it) }, { Ok(it) })
