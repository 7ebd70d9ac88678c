import java.io.*;
import java.nio.file.*;

/** Writes what was sent, answered and run to record.txt of a case. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(String folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    }

    synchronized void line(String text) {
        out.printf("%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }
}
