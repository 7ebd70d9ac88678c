import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: the store, gateways as processes, and the record of a case. */
final class Deployment implements AutoCloseable {
    static final String HOST = "desk.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";
    static final String ZONE = "zone-a";

    /** A gateway process and its addresses. */
    record Gateway(Process process, String ip, int callers, int readiness) {
        Http connect() throws IOException {
            return connect(0);
        }

        /** Connects with a receive window of about {@code window} bytes; 0 for the system's. */
        Http connect(int window) throws IOException {
            Socket s = new Socket();
            if (window > 0) s.setReceiveBufferSize(window);
            s.connect(new InetSocketAddress(ip, callers), 1000);
            s.setSoTimeout(20_000);
            return new Http(s);
        }

        boolean ready() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, readiness), 500);
                s.setSoTimeout(1000);
                Http http = new Http(s);
                http.write("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n");
                return http.message().status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    private final Path temp;
    private final List<Process> processes = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    Deployment(String folder) throws IOException {
        store = new Store();
        temp = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(Path.of("review", folder, "record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        log("trouble " + (trouble ? 1 : 0));
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    void log(String line) {
        synchronized (record) {
            record.println(millis() + " " + line);
            record.flush();
        }
    }

    /** Writes the manifest. Times are those of the sheet's plain requests. */
    void manifest(long version, String routes, String services) {
        store.put("op/config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"" + TENANT + "\",\"apiKeys\":[\"" + KEY + "\"]}]}");
    }

    static String route(String name, String kind, String service, int attempts, int timeoutMs, int targetMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs + ",\"priority\":1,\"service\":\""
            + service + "\",\"maxAttempts\":" + attempts + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":110}";
    }

    /** Starts a gateway with the command of the deploy file. */
    Gateway gateway(String name, String ip) throws IOException {
        int callers = freePort(ip);
        int readiness = freePort(ip);
        int internal = freePort(ip);
        Path settings = temp.resolve(name + ".yaml");
        Files.writeString(settings, String.join("\n",
            "instance: \"" + name + "\"",
            "machine: \"" + ip + "\"",
            "zone: \"" + ZONE + "\"",
            "callers: \"" + ip + ":" + callers + "\"",
            "readiness: \"" + ip + ":" + readiness + "\"",
            "internalPorts: [" + internal + "," + internal + "]",
            "store: \"" + store.address() + "\"",
            "bounds:",
            "  strictRevocation: true",
            "  revocationMillis: 5000",
            "  retryRatio: 0.2",
            "  retryWindowSeconds: 10",
            "  retrySlack: 92",
            "  stopGraceSeconds: 8",
            "  configurationMillis: 2000",
            "  drainMillis: 2000", ""));
        ProcessBuilder builder = new ProcessBuilder(command("gateway"));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("JUJUBELEAD_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(temp.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        log("gateway " + name + " started, callers " + ip + ":" + callers);
        return new Gateway(process, ip, callers, readiness);
    }

    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!m.find()) throw new IOException("no role " + role + " in deploy/system.toml");
        return List.of(m.group(1).split(" "));
    }

    static int freePort(String ip) throws IOException {
        while (true) {
            try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip));
                DatagramSocket d = new DatagramSocket(s.getLocalPort(), InetAddress.getByName(ip))) {
                return d.getLocalPort();
            } catch (java.net.BindException e) {
                // The port is in use for datagrams.
            }
        }
    }

    /** Waits until the gateways are ready; ends the case as not run if they are not. */
    void awaitReady(Gateway... gateways) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Gateway g : gateways) {
            while (!g.ready()) {
                if (System.nanoTime() > end) {
                    log("a gateway did not become ready");
                    finish(2, "a gateway did not become ready; its output is in " + temp);
                }
                Thread.sleep(100);
            }
        }
        log("gateways ready");
    }

    static Thread start(String name, ThrowingRunnable body) {
        Thread t = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                throw new IllegalStateException(name, e);
            }
        }, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Ends all processes and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    void finish(int code, String result) {
        log("result " + code + ": " + result);
        System.out.println((code == 0 ? "held: " : code == 1 ? "broken: " : "not run: ") + result);
        close();
        System.exit(code);
    }

    @Override
    public void close() {
        for (Process p : processes) p.destroyForcibly();
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("output of the processes: " + temp);
            return;
        }
        try (var files = Files.list(temp)) {
            for (Path p : files.toList()) Files.delete(p);
            Files.delete(temp);
        } catch (IOException e) {
            System.err.println("cannot delete " + temp + ": " + e);
        }
    }
}
