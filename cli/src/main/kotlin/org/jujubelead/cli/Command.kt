/** Interface of subcommands. Options and arguments are declared as args4j annotations on fields. */
package org.jujubelead.cli

/** Exit codes of the binary. */
public object ExitCode {
    public const val OK: Int = 0
    public const val FAILED: Int = 1
    public const val USAGE: Int = 2
}

/** A subcommand. */
public interface Command {
    /** Runs the command and returns its exit code. */
    public fun run(): Int
}
