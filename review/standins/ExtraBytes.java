import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a replica sends additional bytes after a complete answer, the beginning of a second copy of it.
 *
 * Three replicas serve an unsafe and a safe route. Each refuses a fifth of its requests as full. With the disruption,
 * one of the three sends, after 2 in 100 of their answers, the first 15 bytes of a second copy of that answer.
 */
public final class ExtraBytes {
    private static final int SECONDS = 30;
    private static final int CLIENTS = 12;
    private static final double SPOILED_SHARE = 0.02;

    private static final Map<String, String> ran = new ConcurrentHashMap<>();
    private static final Map<String, Integer> answeredByReplica = new ConcurrentHashMap<>();
    private static final AtomicInteger extras = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Deployment d = new Deployment(args[0]);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            boolean faulty = d.trouble && i == 1;
            Random random = new Random(i);
            replicas.add(new Replica(d, "i-" + i, "desk-api", 6, (r, http, head, use) -> serve(d, r, http, head, random, faulty)));
        }
        d.manifest(1, Deployment.route("release", "unsafe", "desk-api", 1, 4012, 387) + ","
            + Deployment.route("lookup", "safe", "desk-api", 2, 4009, 386), Deployment.service("desk-api"));
        Deployment.Gateway g = d.gateway("front-1", "127.0.0.1");
        d.awaitReady(g);
        Thread.sleep(1000);
        AtomicInteger refusedAndRan = new AtomicInteger();
        AtomicInteger otherStatus = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.add(Deployment.start("client " + c, () -> {
                Http http = g.connect();
                for (int n = 0; System.nanoTime() < end; n++) {
                    boolean unsafe = n % 2 == 0;
                    String id = "%04x%08x".formatted(client, n);
                    try {
                        http.write((unsafe ? "POST /release/" : "GET /lookup/") + id + " HTTP/1.1\r\nHost: " + Deployment.HOST
                            + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token " + Deployment.KEY
                            + (unsafe ? "\r\nContent-Length: 7\r\n\r\nheat 17" : "\r\n\r\n"));
                        Http.Message m = http.message();
                        int status = m.status();
                        boolean promise = status == 429 || status == 503 || status == 408 || status == 421;
                        Integer given = answeredByReplica.get(id);
                        d.log("answered " + (unsafe ? "unsafe " : "safe ") + id + " " + status + " seal "
                            + m.header("Replica-Seal") + " ran at " + ran.get(id));
                        if (status == 200) served.incrementAndGet();
                        if (unsafe && promise && ran.containsKey(id)) {
                            refusedAndRan.incrementAndGet();
                            d.log("BROKEN REFUSED " + id + ": answered " + status + ", and ran at " + ran.get(id));
                        }
                        if (m.header("Replica-Seal") != null && given != null && given != status) {
                            otherStatus.incrementAndGet();
                            d.log("BROKEN MIXED " + id + ": answered " + status + ", the replica had answered " + given);
                        }
                        if ("close".equalsIgnoreCase(m.header("Connection"))) throw new IOException("closed by the gateway");
                    } catch (IOException e) {
                        http.close();
                        http = g.connect();
                    }
                    Thread.sleep(10);
                }
                http.close();
            }));
        }
        for (Thread t : clients) t.join();
        String counts = "unsafe requests that were answered 429 or 503 and ran: " + refusedAndRan + "; answers with a seal and"
            + " another status than the replica's: " + otherStatus + "; answered 200: " + served + "; additional bytes sent: "
            + extras;
        if (served.get() < 500) d.finish(2, "too few requests were served; " + counts);
        d.finish(refusedAndRan.get() > 0 || otherStatus.get() > 0 ? 1 : 0, counts);
    }

    private static boolean serve(
        Deployment d, Replica r, Http http, Http.Message head, Random random, boolean faulty) throws Exception {
        Http.Message request = http.body(head);
        String id = request.header("Attempt-Id");
        double luck;
        boolean spoiled;
        synchronized (random) {
            luck = random.nextDouble();
            spoiled = faulty && random.nextDouble() < SPOILED_SHARE;
        }
        String answer;
        if (luck < 0.2) {
            answer = r.answer(503, request, "").replaceFirst("\r\n\r\n", "\r\nNot-Executed: 1\r\n\r\n");
        } else {
            ran.put(id, r.id);
            answeredByReplica.put(id, 200);
            d.log("ran " + id + " at " + r.id);
            Thread.sleep(10);
            answer = r.answer(200, request, "done " + id);
        }
        if (spoiled) {
            extras.incrementAndGet();
            d.log("additional bytes of " + r.id + " after its answer to " + id + ": " + answer.substring(0, 15));
            http.write(answer + answer.substring(0, 15));
        } else {
            http.write(answer);
        }
        return true;
    }
}
