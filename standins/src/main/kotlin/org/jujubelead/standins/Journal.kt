/** Executions on disk, one JSON object a line, which outlive a stand-in that is killed. */
package org.jujubelead.standins

import java.io.File
import java.io.FileWriter

/** Appends lines to [file]; without a file it does nothing. */
public class Journal(file: File? = null) {
    private val writer = file?.let { FileWriter(it, true) }

    /** Writes one line; it has reached the operating system when this returns. */
    @Synchronized
    public fun append(line: String) {
        writer?.run {
            write(line + "\n")
            flush()
        }
    }
}
