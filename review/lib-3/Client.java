import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client with one kept channel and one request at a time on it. */
final class Client implements AutoCloseable {
    /** How a request ended: with an answer, at its time budget, or with its channel. */
    enum End { ANSWERED, OUT_OF_TIME, CLOSED }

    /**
     * @param status status of the answer; 0 if its head has not arrived.
     * @param bytes bytes of the body that have arrived.
     * @param length announced length of the body; -1 if there is none.
     * @param sentWhole true if the whole request was written.
     * @param millis time from the first byte of the request to its end.
     * @param waitedMillis time from the last byte of the request to its end; 0 if that was not written.
     */
    record Answer(String attempt, End end, int status, long bytes, long length, boolean sentWhole, long millis,
                  long waitedMillis, boolean sealed, String detail) {
        @Override
        public String toString() {
            return attempt + " " + end + " status " + status + " body " + bytes + " of " + length + " after " + millis
                + " ms, " + waitedMillis + " ms after its last byte" + (sentWhole ? "" : ", request not sent whole") + (detail.isEmpty() ? "" : ", " + detail);
        }
    }

    private static final int PART_BYTES = 16384;
    private final int port;
    private final String host;
    private final String key;
    private final Link link;
    private Socket socket;
    private InputStream in;

    /**
     * The client's link.
     *
     * @param receiveBuffer bytes of the receive buffer; 0 for that of the system.
     * @param up bytes a second that the client sends; 0 for any number.
     * @param down bytes a second that the client reads; 0 for any number.
     */
    record Link(int receiveBuffer, long up, long down) {
        static final Link FAST = new Link(0, 0, 0);
    }

    Client(int port, String host, String key, Link link) {
        this.port = port;
        this.host = host;
        this.key = key;
        this.link = link;
    }

    private void connect() throws IOException {
        if (socket != null && !socket.isClosed()) return;
        socket = new Socket();
        if (link.receiveBuffer > 0) socket.setReceiveBufferSize(link.receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        in = new BufferedInputStream(socket.getInputStream(), 8192);
    }

    /** Sends a request and reads the answer. The time budget begins with the first byte. */
    Answer send(String method, String path, String attempt, int bodyBytes, long budgetMillis) {
        long start = System.nanoTime();
        long sentAt = 0;
        int status = 0;
        long length = -1;
        long got = 0;
        boolean sealed = false;
        try {
            connect();
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + budgetMillis + "\r\nAuthorization: Token " + key + "\r\n"
                + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
            byte[] part = new byte[PART_BYTES];
            long bodyStart = System.nanoTime();
            for (int left = bodyBytes; left > 0; left -= part.length) {
                out.write(part, 0, Math.min(left, part.length));
                pace(bodyBytes - left + part.length, link.up, bodyStart);
            }
            out.flush();
            sentAt = System.nanoTime();
            timeout(start, budgetMillis);
            String line = Http.line(in);
            if (line == null) return ended(End.CLOSED, attempt, start, sentAt, 0, 0, -1, false, "end of channel");
            status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = Http.headers(in);
            length = Long.parseLong(headers.getOrDefault("content-length", "-1"));
            sealed = headers.containsKey("replica-seal");
            byte[] buffer = new byte[PART_BYTES];
            long answerStart = System.nanoTime();
            while (got < length) {
                timeout(start, budgetMillis);
                int n = in.read(buffer, 0, (int) Math.min(buffer.length, length - got));
                if (n < 0) return ended(End.CLOSED, attempt, start, sentAt, status, got, length, sealed, "end of channel");
                got += n;
                pace(got, link.down, answerStart);
            }
            boolean last = "close".equalsIgnoreCase(headers.get("connection"));
            return answer(End.ANSWERED, attempt, start, sentAt, status, got, length, sealed, "", last);
        } catch (SocketTimeoutException e) {
            return ended(End.OUT_OF_TIME, attempt, start, sentAt, status, got, length, sealed, "");
        } catch (IOException e) {
            return ended(End.CLOSED, attempt, start, sentAt, status, got, length, sealed, String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ended(End.CLOSED, attempt, start, sentAt, status, got, length, sealed, "interrupted");
        }
    }

    /** Waits until [bytes] are due on a link of [bytesPerSecond]. */
    private static void pace(long bytes, long bytesPerSecond, long start) throws InterruptedException {
        if (bytesPerSecond == 0) return;
        long early = bytes * 1000 / bytesPerSecond - millis(start);
        if (early > 0) Thread.sleep(early);
    }

    private void timeout(long start, long budgetMillis) throws IOException {
        long left = budgetMillis - millis(start);
        if (left <= 0) throw new SocketTimeoutException();
        socket.setSoTimeout((int) left);
    }

    private Answer ended(End end, String attempt, long start, long sentAt, int status, long got, long length,
                         boolean sealed, String detail) {
        return answer(end, attempt, start, sentAt, status, got, length, sealed, detail, true);
    }

    private Answer answer(End end, String attempt, long start, long sentAt, int status, long got, long length,
                          boolean sealed, String detail, boolean last) {
        if (last) close();
        long waited = sentAt == 0 ? 0 : millis(sentAt);
        return new Answer(attempt, end, status, got, length, sentAt != 0, millis(start), waited, sealed, detail);
    }

    private static long millis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // Closed all the same.
        }
        socket = null;
    }
}
