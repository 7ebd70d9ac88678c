import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A small deployment: store, replicas of one service, gateways, and the record of a run. */
final class Deployment implements AutoCloseable {
    static final String HOST = "docs.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** Key of the other tenant, before and after it is replaced. */
    static final String OTHER_KEY = "a7fqk2m9xw41ztpe5rud";
    static final String NEXT_OTHER_KEY = "g3vhy8c6jd0onbsl1qix";
    static final int SLOTS = 6;
    static final int FIRST_VERSION = 7;
    private static final long HEARTBEAT_MILLIS = 1200;
    final Store store = new Store();
    final List<Replica> replicas = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review-3");
    private final PrintWriter record;
    private final ScheduledExecutorService beats = Executors.newScheduledThreadPool(1, task -> {
        Thread t = new Thread(task, "beats");
        t.setDaemon(true);
        return t;
    });

    /** @param record file to which the run is written. */
    Deployment(Path record, int replicaCount, int answerBytes, long workMillis, long timeoutMillis) throws IOException {
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::close)));
        for (int i = 0; i < replicaCount; i++) {
            replicas.add(new Replica("i-" + (char) ('a' + i) + "1", SLOTS, answerBytes, workMillis));
        }
        store.put("op/config", configuration(FIRST_VERSION, OTHER_KEY, timeoutMillis));
        beats.scheduleAtFixedRate(this::beat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        for (Replica r : replicas) store.put("servers/" + r.id, r.entry("docs", "zone-a", SLOTS));
    }

    /** The manifest in which the other tenant has the key [otherKey]. */
    static String configuration(int version, String otherKey, long timeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":["
            + route("safe", timeoutMillis, 2) + "," + route("unsafe", timeoutMillis, 1)
            + "],\"services\":[{\"name\":\"docs\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[" + tenant("hule930", KEY) + "," + tenant("lohu221", otherKey) + "]}";
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"]}";
    }

    private static String route(String kind, long timeoutMillis, int attempts) {
        return "{\"name\":\"r-" + kind + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + kind + "/\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":" + timeoutMillis / 2
            + ",\"priority\":2,\"service\":\"docs\",\"maxAttempts\":" + attempts + ",\"public\":false}";
    }

    Gateway gateway(String zone) throws IOException {
        Gateway g = new Gateway("front-" + zone + "-" + (gateways.size() + 1), zone, store.address(), folder);
        gateways.add(g);
        g.start();
        return g;
    }

    synchronized void note(String line) {
        record.println(System.currentTimeMillis() % 1_000_000 + " " + line);
    }

    int runs(String attempt) {
        return replicas.stream().mapToInt(r -> r.runs.getOrDefault(attempt, 0)).sum();
    }

    /** Copies the latest lines of each gateway that tell of trouble into the record. */
    void noteGateways(String... events) throws IOException {
        for (Gateway g : gateways) {
            List<String> lines = Files.readAllLines(g.log).stream()
                .filter(l -> List.of(events).stream().anyMatch(l::contains)).toList();
            note("gateway " + g.callers + " wrote " + lines.size() + " such lines");
            lines.stream().limit(20).forEach(l -> record.println("    " + l));
        }
    }

    @Override
    public void close() throws IOException {
        beats.shutdownNow();
        gateways.forEach(Gateway::close);
        for (Replica r : replicas) r.close();
        store.close();
        record.close();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
