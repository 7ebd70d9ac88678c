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

    /**
     * Sends one request. Throws an exception if the channel ends without a complete answer. The client closes its channel at
     * the end of its time budget.
     */
    Http.Message send(String method, String path, String id, int budgetMs, byte[] body) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
        Socket own = socket;
        Future<?> budget = TIMER.schedule(() -> close(own), budgetMs, TimeUnit.MILLISECONDS);
        try {
            return exchange(method, path, id, budgetMs, body);
        } finally {
            budget.cancel(false);
        }
    }

    private Http.Message exchange(String method, String path, String id, int budgetMs, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
            + budgetMs + "\r\n";
        if (body.length > 0) head += "Content-Length: " + body.length + "\r\n";
        socket.getOutputStream().write(Http.bytes(head + "\r\n", body));
        Http.Message m = Http.read(in);
        if (m == null) throw new EOFException("channel closed without an answer");
        String connection = m.header("Connection");
        if (connection != null && connection.equalsIgnoreCase("close")) close();
        return m;
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
