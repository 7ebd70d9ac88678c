import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;
import java.util.regex.*;

/** One process of the role "gateway" of deploy/system.toml, on loopback addresses. */
final class Gateway {
    final int callers;
    final int readiness;
    private final Process process;
    private final Path settings;

    /** Starts the program; its log goes to [log]. */
    Gateway(Path repository, Path folder, String name, String zone, int storePort, Path log) throws IOException {
        callers = Http.freePort();
        readiness = Http.freePort();
        int internal = Http.freePort();
        settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, render(Files.readString(repository.resolve("deploy/process.yaml.template")), Map.ofEntries(
            Map.entry("nodeName", "\"" + name + "\""), Map.entry("ip", "\"127.0.0.1\""),
            Map.entry("zone", "\"" + zone + "\""), Map.entry("listen.front", "\"127.0.0.1:" + callers + "\""),
            Map.entry("listen.readiness", "\"127.0.0.1:" + readiness + "\""),
            Map.entry("internalPorts", "[" + internal + "," + (internal + 1) + "]"),
            Map.entry("provider.address", "\"127.0.0.1:" + storePort + "\""),
            Map.entry("bounds.strictRevocation", "true"), Map.entry("bounds.revokeMs", "5000"),
            Map.entry("bounds.retryBudgetRatio", "0.2"), Map.entry("bounds.budgetWindowS", "10"),
            Map.entry("bounds.retryBudgetSlack", "94"), Map.entry("bounds.graceS", "8"),
            Map.entry("bounds.configApplyMs", "2000"), Map.entry("bounds.drainMs", "2000"))));
        ProcessBuilder b = new ProcessBuilder(command(repository));
        b.directory(repository.toFile());
        Map<String, String> inherited = Map.copyOf(b.environment());
        b.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(kept)) b.environment().put(kept, inherited.get(kept));
        }
        b.environment().put("JUJUBELEAD_BOOT", settings.toString());
        b.redirectErrorStream(true).redirectOutput(log.toFile());
        process = b.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The words of "run" under [roles.gateway]. */
    private static List<String> command(Path repository) throws IOException {
        String toml = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\.gateway\\]\\s+run = \"([^\"]*)\"").matcher(toml);
        if (!m.find()) throw new IOException("no command of the role gateway in deploy/system.toml");
        return List.of(m.group(1).split(" "));
    }

    /** Fills in the template of the deploy file: values as JSON, and sections of values that are present. */
    private static String render(String template, Map<String, String> values) {
        Matcher section = Pattern.compile("\\{\\{#([a-z.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL).matcher(template);
        String kept = section.replaceAll(r -> values.containsKey(r.group(1)) ? Matcher.quoteReplacement(r.group(2)) : "");
        Matcher value = Pattern.compile("\\{\\{([A-Za-z.]+)\\|json\\}\\}").matcher(kept);
        return value.replaceAll(r -> Matcher.quoteReplacement(values.getOrDefault(r.group(1), "null")));
    }

    boolean alive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean ready() {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", readiness), 500);
            s.setSoTimeout(1000);
            s.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message m = Http.readHead(new BufferedInputStream(s.getInputStream()));
            return m != null && m.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the gateway is ready; returns false after 20 seconds. */
    boolean awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < end && process.isAlive()) {
            if (ready()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Ends the process. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
