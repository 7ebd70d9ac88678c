import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a burst of the class whose requests are long.
 *
 * Twenty clients send short unsafe requests. 16 clients send requests of the length that the manifest allows, over
 * links of 20 Mbit/s. With the disruption there are 24 of the latter for four seconds, 1.5 times their usual traffic.
 */
public final class LongRequests {
    private static final int SHORT_CLIENTS = 20;
    private static final int LONG_CLIENTS = 16;
    private static final int LONG_CLIENTS_IN_BURST = 24;
    private static final int BODY_BYTES = 4_194_304;
    /** 64 KB each 26 ms are 20 Mbit/s. */
    private static final int PIECE_BYTES = 65_536;
    private static final int PIECE_MS = 26;
    private static final int TIMEOUT_MS = 2000;
    private static final int TIME_BUDGET_MS = 4009;

    private static final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private static final AtomicInteger unansweredLater = new AtomicInteger();
    private static final AtomicInteger shortServed = new AtomicInteger();
    private static final AtomicInteger shortOther = new AtomicInteger();
    private static final AtomicInteger longServed = new AtomicInteger();
    private static final AtomicInteger longCut = new AtomicInteger();
    private static final AtomicInteger longOther = new AtomicInteger();
    private static final Map<String, String> ran = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Deployment d = new Deployment(args[0]);
        for (int i = 1; i <= 3; i++) {
            new Replica(d, "i-" + i, "desk-api", 6, LongRequests::serve);
            new Replica(d, "j-" + i, "scan-api", 6, LongRequests::serve);
        }
        d.manifest(1, Deployment.route("release", "unsafe", "desk-api", 1, TIMEOUT_MS, 387) + ","
            + Deployment.route("scan", "unsafe", "scan-api", 1, TIME_BUDGET_MS, 387),
            Deployment.service("desk-api") + "," + Deployment.service("scan-api"));
        Deployment.Gateway g = d.gateway("front-1", "127.0.0.1");
        d.awaitReady(g);
        Thread.sleep(1000);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicBoolean burst = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < SHORT_CLIENTS; c++) {
            int client = c;
            clients.add(Deployment.start("client " + c, () -> shortRequests(d, g, client, stop)));
        }
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        for (int c = 0; c < LONG_CLIENTS_IN_BURST; c++) {
            int client = c;
            Thread.sleep(100);
            clients.add(Deployment.start("long client " + c, () -> {
                for (int n = 0; !stop.get(); n++) {
                    if (client < LONG_CLIENTS || burst.get()) longRequest(d, g, "f%03x%08x".formatted(client, n), body);
                    Thread.sleep(100);
                }
            }));
        }
        Thread.sleep(8000);
        if (d.trouble) {
            burst.set(true);
            d.log("burst begins");
        }
        Thread.sleep(4000);
        burst.set(false);
        d.log("burst is over");
        Thread.sleep(16_000);
        stop.set(true);
        for (Thread t : clients) t.join(10_000);
        int late = unansweredLater.get();
        int all = unansweredAtTimeout.get();
        String counts = "short requests unanswered at their route's timeoutMs: " + all + ", of these also half a second later: "
            + late + "; short requests answered 200: " + shortServed + ", otherwise: " + shortOther
            + "; long requests answered 200: " + longServed + ", otherwise: " + longOther + ", cut: " + longCut;
        if (shortServed.get() < 200) d.finish(2, "too few requests were served; " + counts);
        d.finish(late >= 8 && 2 * late > all ? 1 : 0, counts);
    }

    private static boolean serve(Replica r, Http http, Http.Message head, int use) throws Exception {
        Http.Message request = http.body(head);
        if (!request.complete()) return false;
        ran.put(request.header("Attempt-Id"), r.id);
        Thread.sleep(20);
        http.write(r.answer(200, request, "done " + request.header("Attempt-Id")));
        return true;
    }

    private static String head(String route, String id, int length) {
        return "POST /" + route + "/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + TIME_BUDGET_MS + "\r\nAuthorization: Token " + Deployment.KEY + "\r\nContent-Length: "
            + length + "\r\n\r\n";
    }

    /** Sends short requests. A client waits until its time budget has passed, then it closes the channel. */
    private static void shortRequests(Deployment d, Deployment.Gateway g, int client, AtomicBoolean stop) throws Exception {
        Http http = null;
        for (int n = 0; !stop.get(); n++) {
            String id = "%04x%08x".formatted(client, n);
            long sentAt = d.millis();
            try {
                if (http == null) http = g.connect();
                http.socket.setSoTimeout(TIME_BUDGET_MS);
                sentAt = d.millis();
                d.log("sent " + id);
                http.write(head("release", id, 7) + "heat 17");
                Http.Message m = http.message();
                d.log("answered " + id + " " + m.status() + " after " + (d.millis() - sentAt) + " ms, ran at " + ran.get(id));
                if (m.status() == 200) shortServed.incrementAndGet();
                else shortOther.incrementAndGet();
                if ("close".equalsIgnoreCase(m.header("Connection"))) throw new IOException("closed by the gateway");
            } catch (SocketTimeoutException e) {
                d.log("given up " + id + " after " + (d.millis() - sentAt) + " ms without an answer, ran at " + ran.get(id));
                if (http != null) http.close();
                http = null;
            } catch (IOException e) {
                if (http != null) http.close();
                http = null;
            }
            long took = d.millis() - sentAt;
            if (took > TIMEOUT_MS) unansweredAtTimeout.incrementAndGet();
            if (took > TIMEOUT_MS + 500) {
                unansweredLater.incrementAndGet();
                d.log("LATE " + id + ": no answer " + took + " ms after it was sent");
            }
            Thread.sleep(100);
        }
        if (http != null) http.close();
    }

    private static void longRequest(Deployment d, Deployment.Gateway g, String id, byte[] body)
        throws InterruptedException {
        try (Http http = g.connect()) {
            http.write(head("scan", id, body.length));
            for (int at = 0; at < body.length; at += PIECE_BYTES) {
                http.write(Arrays.copyOfRange(body, at, Math.min(at + PIECE_BYTES, body.length)));
                Thread.sleep(PIECE_MS);
            }
            http.socket.setSoTimeout(TIME_BUDGET_MS);
            Http.Message m = http.message();
            d.log("answered long " + id + " " + m.status());
            if (m.status() == 200) longServed.incrementAndGet();
            else longOther.incrementAndGet();
        } catch (IOException e) {
            longCut.incrementAndGet();
            d.log("long " + id + " without an answer, ran at " + ran.get(id) + ": " + e);
        }
    }
}
