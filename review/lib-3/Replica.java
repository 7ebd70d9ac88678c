import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service: runs each request once, and answers with a seal and a whole body. */
final class Replica implements AutoCloseable {
    private static final int QUEUED = 6;
    final String id;
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Semaphore slots;
    private final int answerBytes;
    private final long workMillis;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger seals = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** How often each request has run. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    Replica(String id, int slots, int answerBytes, long workMillis) throws IOException {
        this.id = id;
        this.slots = new Semaphore(slots, true);
        this.answerBytes = answerBytes;
        this.workMillis = workMillis;
        thread("replica " + id, this::accept);
    }

    /** The entry under servers/ID. */
    String entry(String service, String zone, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\""
            + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":0"
            + ",\"born\":" + born + "}";
    }

    private static void thread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                open.add(s);
                thread("replica channel", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65536);
            while (true) {
                String line = Http.line(in);
                if (line == null) return;
                Map<String, String> headers = Http.headers(in);
                in.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
                answer(line, headers, out);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed the channel.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(String line, Map<String, String> headers, OutputStream out)
        throws IOException, InterruptedException {
        String attempt = headers.getOrDefault("attempt-id", "");
        String expected = headers.get("expect-replica");
        if (expected != null && !expected.equals(id)) {
            head(out, "421 Misdirected Request", attempt, "Replica-Id: " + id + "\r\n", 0);
            return;
        }
        if (line.startsWith("GET /health")) {
            head(out, "200 OK", attempt, "Replica-Id: " + id + "\r\n", 0);
            return;
        }
        if (waiting.incrementAndGet() > QUEUED + slots.availablePermits()) {
            waiting.decrementAndGet();
            head(out, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n", 0);
            return;
        }
        slots.acquire();
        waiting.decrementAndGet();
        try {
            runs.merge(attempt, 1, Integer::sum);
            Thread.sleep(workMillis);
        } finally {
            slots.release();
        }
        head(out, "200 OK", attempt, "Replica-Seal: " + id + "." + seals.incrementAndGet() + "\r\n", answerBytes);
        byte[] unit = (attempt + "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[answerBytes];
        for (int i = 0; i < body.length; i++) body[i] = unit[i % unit.length];
        out.write(body);
        out.flush();
    }

    private static void head(OutputStream out, String status, String attempt, String more, int length)
        throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n" + more + "Content-Length: " + length
            + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : open) s.close();
    }
}
