import java.io.*;
import java.nio.file.*;
import java.util.*;

/**
 * One replica of a model service sends some streams that are line feeds without end. Another service is sound. Checks that
 * requests that outlast their route's timeout get a final answer.
 */
final class EndlessBody {
    private static final int CLIENTS = 12;
    private static final long RUN_MS = 40_000;
    private static final double SPOILT_SHARE = 0.02;
    private static final int EVENTS = 20;

    /** A service with its route, and what its clients have met. */
    private static final class Service {
        final String name;
        final int timeoutMs;
        final int budgetMs;
        int sent;
        int answered;
        int late;
        int unanswered;

        Service(String name, int timeoutMs, int budgetMs) {
            this.name = name;
            this.timeoutMs = timeoutMs;
            this.budgetMs = budgetMs;
        }
    }

    private static final Service MODEL = new Service("model", 8_000, 8_000);
    private static final Service ARCHIVE = new Service("archive", 2_000, 4_000);

    public static void main(String[] args) {
        Case.run(args, EndlessBody::check);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static int check(Path repository, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", manifest());
        for (int i = 1; i <= 3; i++) {
            String id = "i-archive" + i;
            Replica[] self = new Replica[1];
            self[0] = new Replica(store, id, "archive", "south-a", 6, (m, in, out, s) -> {
                Http.readBody(in, m);
                record.line("run    " + m.header("Attempt-Id") + " at " + id);
                Thread.sleep(60);
                out.write(self[0].answer(m, "200 OK", new byte[800]));
                return true;
            });
        }
        for (int i = 1; i <= 3; i++) {
            String id = "i-model" + i;
            boolean faulty = trouble && i == 1;
            Random random = new Random(1);
            new Replica(store, id, "model", "south-a", 8, (m, in, out, s) -> {
                Http.readBody(in, m);
                boolean endless;
                synchronized (random) {
                    endless = faulty && random.nextDouble() < SPOILT_SHARE;
                }
                record.line("run    " + m.header("Attempt-Id") + " at " + id + (endless ? ", answered without end" : ""));
                stream(id, m.header("Attempt-Id"), endless, out);
                return true;
            });
        }
        Gateway gateway = new Gateway(repository, temporary, "front-1", "south-a", store.port);
        try {
            if (gateway.awaitReady()) return play(gateway, record);
            record.say("the gateway did not become ready");
            return Case.NOT_RUN;
        } finally {
            gateway.kill();
        }
    }

    private static void stream(String id, String attempt, boolean endless, OutputStream out) throws Exception {
        Thread.sleep(80);
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: seal." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        while (endless) chunk("\n".repeat(4_096), out);
        for (int e = 1; e <= EVENTS; e++) {
            chunk("id: " + e + "\ndata: token " + e + " of " + attempt + "\n\n", out);
            Thread.sleep(40);
        }
        out.write("0\r\n\r\n".getBytes());
    }

    private static void chunk(String text, OutputStream out) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    }

    private static int play(Gateway gateway, Record record) throws Exception {
        long start = now();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS; k++) {
            for (Service service : List.of(MODEL, ARCHIVE)) {
                clients.add(Http.daemon(() -> {
                    Client c = new Client(gateway.callers);
                    while (now() - start < RUN_MS) {
                        call(c, service, record);
                        try {
                            Thread.sleep(100);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }));
            }
        }
        long end = start + RUN_MS + 15_000;
        for (Thread t : clients) t.join(Math.max(1, end - now()));
        int late = 0;
        int unanswered = 0;
        for (Service s : List.of(MODEL, ARCHIVE)) {
            synchronized (s) {
                record.say(s.name + ": " + s.sent + " requests, " + s.answered + " answered 200, " + s.late
                    + " not answered at their route's timeout, of these " + s.unanswered + " without a final answer 0.5 s later");
                late += s.late;
                unanswered += s.unanswered;
            }
        }
        boolean broken = unanswered >= 8 && unanswered * 2 > late;
        record.say((broken ? "CONFIG broken" : "CONFIG held") + "; process alive: " + gateway.alive());
        return broken ? Case.BROKEN : Case.HELD;
    }

    private static void call(Client c, Service service, Record record) {
        String id = Client.nextId();
        long sentAt = now();
        String end;
        try {
            end = Integer.toString(c.send("POST", "/" + service.name + "/1", id, service.budgetMs, new byte[600]).status());
        } catch (IOException e) {
            end = now() - sentAt >= service.budgetMs ? "left at the end of the time budget" : "channel ended";
            c.close();
        }
        long took = now() - sentAt;
        record.line("answer " + id + " of " + service.name + ": " + end + " after " + took + " ms");
        synchronized (service) {
            service.sent++;
            if (end.equals("200")) service.answered++;
            if (took > service.timeoutMs) service.late++;
            if (took > service.timeoutMs + 500) service.unanswered++;
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"model\",\"host\":\"shop.example\",\"pathPrefix\":\"/model/\","
            + "\"kind\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"model\","
            + "\"maxAttempts\":2,\"public\":true,\"resumable\":true,\"targetGapMs\":120},{\"name\":\"archive\","
            + "\"host\":\"shop.example\",\"pathPrefix\":\"/archive/\",\"kind\":\"unsafe\",\"timeoutMs\":2000,"
            + "\"targetLatencyMs\":300,\"priority\":2,\"service\":\"archive\",\"maxAttempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConns\":188,\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"archive\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }
}
