/** A measurement that `scripts/bench` runs by name. */
package org.jujubelead.bench

/**
 * Options common to all experiments.
 *
 * @property quick ends within a minute.
 * @property seed seed of every random source of the run.
 */
public data class ExperimentOptions(val quick: Boolean = false, val seed: Long = 1)

/** One experiment. It prints a table, and writes JSON lines and plots below `target/bench/`. */
public interface Experiment {
    /** Name on the command line. */
    public val name: String

    /** Runs the experiment; false when an aim was not met. */
    public fun run(options: ExperimentOptions): Boolean
}
