/** Steps that may fail, written one after the other in suspending code. */
package org.jujubelead.settings

import arrow.core.raise.Raise
import arrow.core.raise.either
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/** Receiver of the steps. */
internal class ResultScope<E>(raise: Raise<E>) : Raise<E> by raise {
    /** Returns the value, or ends the steps with the error. */
    fun <V> Result<V, E>.bind(): V = getOrElse { raise(it) }
}

/** Runs steps until the first error. */
internal inline fun <V, E> resultOf(steps: ResultScope<E>.() -> V): Result<V, E> =
    either { ResultScope(this).steps() }.fold({ Err(it) }, { Ok(it) })
