import java.io.IOException;
import java.nio.file.*;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs the check of a case and exits with its result. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    interface Check {
        int run(Path repository, Path temporary, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Arguments: the repository, and the folder of the case for its record. */
    static void run(String[] args, Check check) {
        int result = NOT_RUN;
        try {
            Path temporary = Files.createTempDirectory("jujubelead-review");
            Record record = new Record(args[1]);
            try {
                result = check.run(Path.of(args[0]), temporary, record, !"0".equals(System.getenv("TROUBLE")));
            } finally {
                record.close();
                if (System.getenv("KEEP_LOGS") == null) delete(temporary);
                else System.out.println("logs: " + temporary);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(p);
        }
    }
}
