import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the role gateway, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    private static final int INTERNAL_PORTS = 4;
    final int callers = freePort();
    final int readiness = freePort();
    final Path log;
    private final Path settings;
    private Process process;

    Gateway(String name, String zone, String store, Path folder) throws IOException {
        int internal = freePort();
        settings = folder.resolve(name + ".yaml");
        log = folder.resolve(name + ".log");
        // The platform renders deploy/process.yaml.template to this; the bounds are those of the site.
        Files.writeString(settings, String.join("\n",
            "instance: \"" + name + "\"", "machine: \"127.0.0.1\"", "zone: \"" + zone + "\"",
            "callers: \"127.0.0.1:" + callers + "\"", "readiness: \"127.0.0.1:" + readiness + "\"",
            "internalPorts: [" + internal + "," + (internal + INTERNAL_PORTS) + "]", "store: \"" + store + "\"",
            "bounds:", "  strictRevocation: true", "  revocationMillis: 5000", "  retryRatio: 0.2",
            "  retryWindowSeconds: 10", "  retrySlack: 92", "  stopGraceSeconds: 8", "  configurationMillis: 2000",
            "  drainMillis: 2000", ""));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command("gateway"));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("JUJUBELEAD_BOOT", settings.toString());
        builder.directory(new File("."));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Words of [role]'s command in the deploy file; the class archive may be missing outside of the build. */
    static List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.equals("[roles." + role + "]");
            if (inRole && line.startsWith("run = ")) {
                return new ArrayList<>(List.of(line.substring("run = \"".length(), line.length() - 1).split(" ")));
            }
        }
        throw new IOException("no role " + role);
    }

    boolean ready() {
        try {
            var c = (HttpURLConnection) URI.create("http://127.0.0.1:" + readiness + "/ready").toURL().openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(1000);
            int status = c.getResponseCode();
            c.disconnect();
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            if (ready()) return true;
            Thread.sleep(50);
        }
        return false;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Waits until the process has ended. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }
}
