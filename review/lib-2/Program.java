import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;
import java.util.regex.*;

/** One process of a role of deploy/system.toml, with the settings that its template makes. */
final class Program {
    private final Process process;

    /** Starts the program of [role]; its settings and its log go to [folder]. */
    Program(Path repository, Path folder, String role, String name, Map<String, String> fields) throws IOException {
        Map<String, String> values = new HashMap<>(BOUNDS);
        values.putAll(fields);
        values.put("nodeName", text(name));
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, render(Files.readString(repository.resolve("deploy/process.yaml.template")), values));
        ProcessBuilder b = new ProcessBuilder(command(repository, role));
        b.directory(repository.toFile());
        Map<String, String> inherited = Map.copyOf(b.environment());
        b.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(kept)) b.environment().put(kept, inherited.get(kept));
        }
        b.environment().put("JUJUBELEAD_BOOT", settings.toString());
        b.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        process = b.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The bounds of the site psrc-mtc. */
    private static final Map<String, String> BOUNDS = Map.ofEntries(
        Map.entry("bounds.strictRevocation", "true"), Map.entry("bounds.revokeMs", "5000"),
        Map.entry("bounds.retryBudgetRatio", "0.2"), Map.entry("bounds.budgetWindowS", "10"),
        Map.entry("bounds.retryBudgetSlack", "94"), Map.entry("bounds.graceS", "8"),
        Map.entry("bounds.configApplyMs", "2000"), Map.entry("bounds.drainMs", "2000"));

    static String text(String value) {
        return "\"" + value + "\"";
    }

    /** The words of "run" of [role]. */
    private static List<String> command(Path repository, String role) throws IOException {
        String toml = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(toml);
        if (!m.find()) throw new IOException("no command of the role " + role + " in deploy/system.toml");
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
