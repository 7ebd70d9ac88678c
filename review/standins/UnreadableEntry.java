import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: another writer puts an entry that cannot be read into the list of replicas for five seconds.
 *
 * Two gateways serve a route with three replicas. Ten seconds after the entry has been removed again, one replica
 * reports that it is draining, goes on for six seconds, and leaves.
 */
public final class UnreadableEntry {
    private static final int DRAIN_MS = 2000;

    public static void main(String[] args) throws Exception {
        Deployment d = new Deployment(args[0]);
        Map<String, Long> arrivals = new ConcurrentHashMap<>();
        AtomicLong drainAccepted = new AtomicLong(Long.MAX_VALUE / 2);
        AtomicInteger late = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failedAfterEnd = new AtomicInteger();
        AtomicLong ended = new AtomicLong(Long.MAX_VALUE / 2);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            replicas.add(new Replica(d, "i-" + i, "desk-api", 6, (r, http, head, use) -> {
                Http.Message request = http.body(head);
                long now = d.millis();
                String id = request.header("Attempt-Id");
                arrivals.put(id, now);
                d.log("ran " + id + " at " + r.id);
                if (r.id.equals("i-1") && now > drainAccepted.get() + DRAIN_MS) {
                    late.incrementAndGet();
                    d.log("BROKEN DRAIN " + id + " reached i-1 " + (now - drainAccepted.get()) + " ms after its report");
                }
                Thread.sleep(20);
                http.write(r.answer(200, request, "done " + id));
                return true;
            }));
        }
        d.manifest(1, Deployment.route("lookup", "safe", "desk-api", 2, 4009, 386), Deployment.service("desk-api"));
        Deployment.Gateway[] gateways = {d.gateway("front-1", "127.0.0.1"), d.gateway("front-2", "127.0.0.2")};
        d.awaitReady(gateways);
        // The processes find each other in this time.
        Thread.sleep(6000);
        long end = System.nanoTime() + 30_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 6; c++) {
            int client = c;
            Deployment.Gateway g = gateways[c % 2];
            clients.add(Deployment.start("client " + c, () -> {
                Http http = g.connect();
                for (int n = 0; System.nanoTime() < end; n++) {
                    String id = "%04x%08x".formatted(client, n);
                    try {
                        http.write("GET /lookup/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token " + Deployment.KEY + "\r\n\r\n");
                        Http.Message m = http.message();
                        d.log("answered " + id + " " + m.status());
                        if (m.status() == 200) served.incrementAndGet();
                        else if (d.millis() > ended.get() + 1000) failedAfterEnd.incrementAndGet();
                        if ("close".equalsIgnoreCase(m.header("Connection"))) throw new IOException("closed by the gateway");
                    } catch (IOException e) {
                        http.close();
                        http = g.connect();
                    }
                    Thread.sleep(30);
                }
                http.close();
            }));
        }
        Thread.sleep(2000);
        if (d.trouble) {
            d.store.put("servers/b-7", "[".repeat(5_000));
            d.log("another writer has put an entry that cannot be read: 5000 opening brackets");
        }
        Thread.sleep(5000);
        if (d.trouble) {
            d.store.remove("servers/b-7");
            d.log("the entry has been removed");
        }
        Thread.sleep(10_000);
        replicas.get(0).drain();
        drainAccepted.set(d.millis());
        d.log("the store has accepted that i-1 is draining");
        Thread.sleep(6000);
        replicas.get(0).end();
        ended.set(d.millis());
        d.log("i-1 has left");
        for (Thread t : clients) t.join();
        String counts = "requests that reached the draining replica later than " + DRAIN_MS + " ms after its report: " + late
            + "; answered 200: " + served + "; other answers later than 1 s after the replica had left: " + failedAfterEnd
            + "; gateways ready at the end: " + (gateways[0].ready() ? 1 : 0) + " + " + (gateways[1].ready() ? 1 : 0);
        if (served.get() < 500) d.finish(2, "too few requests were served; " + counts);
        d.finish(late.get() > 0 ? 1 : 0, counts);
    }
}
