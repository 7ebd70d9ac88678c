import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a replica's answer without a length is reset on the way, while the replica has not read the whole request.
 *
 * Replicas answer long requests before they have read them, without a length; the answer ends with the channel. With the
 * disruption, one of three replicas crashes in 2 of 100 of its answers: it resets the channel after half of the body.
 */
public final class ResetAnswer {
    private static final int SECONDS = 30;
    private static final int BODY_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 800;
    private static final double RESET_SHARE = 0.02;

    public static void main(String[] args) throws Exception {
        Deployment d = new Deployment(args[0]);
        AtomicInteger resets = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            boolean faulty = d.trouble && i == 1;
            Random random = new Random(i);
            ServerSocket server = new ServerSocket();
            server.setReceiveBufferSize(16_384);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
            new Replica(d, "i-" + i, "scan-api", 6, server, (r, http, head, use) -> {
                boolean reset;
                synchronized (random) {
                    reset = faulty && random.nextDouble() < RESET_SHARE;
                }
                String id = head.header("Attempt-Id");
                d.log("ran " + id + " at " + r.id);
                Thread.sleep(20);
                String body = body(id);
                http.write(r.head(200, head) + "Content-Type: text/plain\r\nConnection: close\r\n\r\n"
                    + body.substring(0, ANSWER_BYTES / 2));
                if (reset) {
                    Thread.sleep(20);
                    resets.incrementAndGet();
                    d.log(r.id + " resets the channel of " + id + " after " + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES + " bytes");
                    http.reset();
                    return false;
                }
                http.body(head);
                http.write(body.substring(ANSWER_BYTES / 2));
                http.close();
                return false;
            });
        }
        d.manifest(1, Deployment.route("scan", "unsafe", "scan-api", 1, 4012, 387), Deployment.service("scan-api"));
        Deployment.Gateway g = d.gateway("front-1", "127.0.0.1");
        d.awaitReady(g);
        Thread.sleep(1000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger truncated = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 6; c++) {
            int client = c;
            clients.add(Deployment.start("client " + c, () -> {
                for (int n = 0; System.nanoTime() < end; n++) {
                    String id = "%04x%08x".formatted(client, n);
                    try (Http http = g.connect()) {
                        http.write("POST /scan/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token " + Deployment.KEY + "\r\nContent-Length: "
                            + BODY_BYTES + "\r\n\r\n");
                        http.write(body);
                        Http.Message m = http.message();
                        boolean sealed = m.header("Replica-Seal") != null;
                        d.log("answered " + id + " " + m.status() + ", length " + m.header("Content-Length") + ", received "
                            + m.body().length + ", complete " + m.complete());
                        if (m.status() != 200) {
                            other.incrementAndGet();
                        } else if (!m.complete()) {
                            cut.incrementAndGet();
                        } else if (sealed && m.text().equals(body(id))) {
                            whole.incrementAndGet();
                        } else {
                            truncated.incrementAndGet();
                            d.log("BROKEN MIXED " + id + ": 200, complete, with " + m.body().length + " of " + ANSWER_BYTES + " bytes");
                        }
                    } catch (IOException e) {
                        cut.incrementAndGet();
                        d.log("closed " + id + " without an answer: " + e);
                    }
                    Thread.sleep(20);
                }
            }));
        }
        for (Thread t : clients) t.join();
        String counts = "answers 200 that look complete and are not the replica's whole body: " + truncated + "; whole answers: "
            + whole + ", other statuses: " + other + ", cut: " + cut + "; answers that were reset: " + resets;
        if (whole.get() < 100) d.finish(2, "too few requests were served; " + counts);
        d.finish(truncated.get() > 0 ? 1 : 0, counts);
    }

    private static String body(String id) {
        return ("answer of " + id + " ").repeat(ANSWER_BYTES / 20).substring(0, ANSWER_BYTES);
    }
}
