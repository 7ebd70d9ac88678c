import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a gateway gets SIGTERM while callers receive long answers.
 *
 * Five callers fetch answers of 8 MB, one after the other, over links of 10 Mbit/s with windows of 64 KB. With the disruption one of two
 * gateways gets SIGTERM, and the platform sends it no new channels once two of its readiness checks have failed.
 */
public final class StopDuringAnswer {
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int CLIENTS = 5;
    private static final int PIECE_BYTES = 65_536;
    private static final int PIECE_MS = 52;
    private static final int GRACE_MS = 8000;
    private static final int TIME_BUDGET_MS = 8000;

    public static void main(String[] args) throws Exception {
        Deployment d = new Deployment(args[0]);
        byte[] data = new byte[ANSWER_BYTES];
        Arrays.fill(data, (byte) 'a');
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int i = 1; i <= 3; i++) {
            new Replica(d, "i-" + i, "desk-api", 6, (r, http, head, use) -> {
                Http.Message request = http.body(head);
                ran.put(request.header("Attempt-Id"), r.id);
                d.log("ran " + request.header("Attempt-Id") + " at " + r.id);
                Thread.sleep(20);
                http.write(r.head(200, request) + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n");
                http.write(data);
                return true;
            });
        }
        d.manifest(1, Deployment.route("release", "unsafe", "desk-api", 1, TIME_BUDGET_MS, 387), Deployment.service("desk-api"));
        Deployment.Gateway[] gateways = {d.gateway("front-1", "127.0.0.1"), d.gateway("front-2", "127.0.0.2")};
        d.awaitReady(gateways);
        Thread.sleep(3000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long end = System.nanoTime() + 20_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Thread.sleep(1000);
            clients.add(Deployment.start("client " + c, () -> {
                for (int n = 0; System.nanoTime() < end; n++) {
                    String id = "%04x%08x".formatted(client, n);
                    Deployment.Gateway g = gateways[rotation ? 0 : 1];
                    try (Http http = g.connect(PIECE_BYTES)) {
                        http.write("POST /release/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: " + TIME_BUDGET_MS + "\r\nAuthorization: Token " + Deployment.KEY
                            + "\r\nContent-Length: 7\r\n\r\nheat 17");
                        long sentAt = d.millis();
                        d.log("sent " + id + " to " + g.ip());
                        Http.Message head = http.head();
                        int length = Integer.parseInt(head.header("Content-Length"));
                        int received = receive(http.input(), length);
                        long took = d.millis() - sentAt;
                        boolean complete = received == length;
                        d.log("answered " + id + " " + head.status() + ", received " + received + " of " + length + " after "
                            + took + " ms");
                        if (head.status() != 200) {
                            other.incrementAndGet();
                        } else if (complete) {
                            whole.incrementAndGet();
                        } else if (took < TIME_BUDGET_MS) {
                            lost.incrementAndGet();
                            d.log("BROKEN LOST " + id + ": ran at " + ran.get(id) + ", and the channel ended after " + received
                                + " of " + length + " bytes");
                        }
                    } catch (IOException e) {
                        d.log("closed " + id + " without an answer, ran at " + ran.get(id) + ": " + e);
                        if (ran.containsKey(id)) lost.incrementAndGet();
                    }
                    Thread.sleep(200);
                }
            }));
        }
        Thread.sleep(6000);
        if (d.trouble) {
            stoppedAt = d.millis();
            gateways[0].process().destroy();
            d.log("SIGTERM to front-1");
            Deployment.start("platform", () -> {
                Thread.sleep(2000);
                rotation = false;
                d.log("front-1 gets no new channels");
                if (!gateways[0].process().waitFor(GRACE_MS - 2000, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                    gateways[0].process().destroyForcibly();
                    d.log("SIGKILL to front-1");
                } else {
                    d.log("front-1 has ended, " + (d.millis() - stoppedAt) + " ms after SIGTERM");
                }
            });
        }
        for (Thread t : clients) t.join();
        String counts = "answers that ended early though the replica had given them whole: " + lost + "; whole answers: " + whole
            + ", other statuses: " + other;
        if (whole.get() < 5) d.finish(2, "too few requests were served; " + counts);
        d.finish(lost.get() > 0 ? 1 : 0, counts);
    }

    private static volatile boolean rotation = true;
    private static volatile long stoppedAt;


    /** Reads the body at the speed of the link. Returns the number of bytes that arrived. */
    private static int receive(InputStream in, int length) throws InterruptedException {
        int received = 0;
        byte[] piece = new byte[PIECE_BYTES];
        while (received < length) {
            int n;
            try {
                n = in.readNBytes(piece, 0, Math.min(piece.length, length - received));
            } catch (IOException e) {
                return received;
            }
            if (n == 0) return received;
            received += n;
            Thread.sleep(PIECE_MS);
        }
        return received;
    }
}
