/** The interface of the experiments that `scripts/bench` runs by name. */
package org.jujubelead.bench

/**
 * Options common to all experiments.
 *
 * @property quick whether to run a short version that ends within a minute.
 * @property seed seed of all random sources of the run.
 */
public data class ExperimentOptions(val quick: Boolean = false, val seed: Long = 1)

/** A measurement that prints a table and writes JSON lines and plots to `target/bench/`. */
public interface Experiment {
    /** The name used on the command line. */
    public val name: String

    /** Runs the experiment. Returns false if a performance objective was missed. */
    public fun run(options: ExperimentOptions): Boolean
}
