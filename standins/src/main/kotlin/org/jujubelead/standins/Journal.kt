/** Record of executions on disk, one JSON object per line. It survives a kill of the process. */
package org.jujubelead.standins

import java.io.File
import java.io.FileWriter

/** Appends lines to [file]; without a file, they are discarded. */
public class Journal(file: File? = null) {
    private val writer = file?.let { FileWriter(it, true) }

    /** Writes one line and flushes it to the operating system. */
    @Synchronized
    public fun append(line: String) {
        writer?.run {
            write(line + "\n")
            flush()
        }
    }
}
