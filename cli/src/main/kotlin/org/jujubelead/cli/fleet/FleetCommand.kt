/** Base class of commands that query all entries. */
package org.jujubelead.cli.fleet

import kotlinx.coroutines.runBlocking
import org.jujubelead.cli.Command
import org.jujubelead.cli.ExitCode
import org.kohsuke.args4j.Option

/** A command that queries all entries. Failures are reported in one line with exit code 1. */
public abstract class FleetCommand : Command {
    @Option(name = "--directory", required = true, metaVar = "URL", usage = "base URL of the platform's instance list")
    private lateinit var directory: String

    @Option(name = "--key-store", metaVar = "FILE", usage = "PKCS #12 file with this operator's key")
    private var keyStore: String = ""

    @Option(
        name = "--trust-store",
        metaVar = "FILE",
        usage = "PKCS #12 file with the trusted certificates; default: the key store",
    )
    private var trustStore: String = ""

    @Option(name = "--password", metaVar = "TEXT", usage = "password of both files")
    private var password: String = ""

    /** Queries the entries, prints the result, and returns the exit code. */
    protected abstract suspend fun query(options: FleetOptions): Int

    override fun run(): Int = try {
        val options = FleetOptions(
            directory = directory,
            keyStore = keyStore,
            trustStore = trustStore.ifEmpty { keyStore },
            password = password,
        )
        runBlocking { query(options) }
    } catch (e: FleetException) {
        System.err.println("jujubelead: ${e.message}")
        ExitCode.FAILED
    }
}
