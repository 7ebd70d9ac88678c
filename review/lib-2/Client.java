import java.io.*;
import java.net.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with one kept channel. */
final class Client {
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(1, r -> {
        Thread t = new Thread(r, "client-timer");
        t.setDaemon(true);
        return t;
    });
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
        this.port = port;
    }

    static String nextId() {
        return String.format("%016x", 0xc0ffee0000000000L + NEXT.incrementAndGet());
    }

    Http.Message send(String method, String path, String id, int deadlineMs, String headers, byte[] body) throws IOException {
        return send(method, path, id, deadlineMs, headers, body, 0, () -> {});
    }

    /**
     * Sends one request, its body over [paceMs] milliseconds, and calls [onSent] after its last byte. Throws an exception if the
     * channel ends without a complete answer. The client closes its channel at the end of its time budget.
     */
    Http.Message send(String method, String path, String id, int deadlineMs, String headers, byte[] body, int paceMs,
                      Runnable onSent) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
        Socket own = socket;
        Future<?> budget = TIMER.schedule(() -> close(own), deadlineMs, TimeUnit.MILLISECONDS);
        try {
            return exchange(method, path, id, deadlineMs, headers, body, paceMs, onSent);
        } finally {
            budget.cancel(false);
        }
    }

    private Http.Message exchange(String method, String path, String id, int deadlineMs, String headers, byte[] body, int paceMs,
                                  Runnable onSent) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
            + deadlineMs + "\r\n" + headers;
        if (body.length > 0) head += "Content-Length: " + body.length + "\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(Http.bytes(head + "\r\n", new byte[0]));
        int step = paceMs == 0 ? Math.max(body.length, 1) : Math.max(body.length * 20 / paceMs, 1);
        for (int from = 0; from < body.length; from += step) {
            out.write(body, from, Math.min(step, body.length - from));
            if (paceMs > 0) pause(20);
        }
        onSent.run();
        Http.Message m = Http.read(in);
        if (m == null) throw new EOFException("channel closed without an answer");
        String connection = m.header("Connection");
        if (connection != null && connection.equalsIgnoreCase("close")) close();
        return m;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() {
        close(socket);
        socket = null;
    }

    private static void close(Socket s) {
        try {
            if (s != null) s.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
