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
                  long waitedMillis, String detail) {
        @Override
        public String toString() {
            return attempt + " " + end + " status " + status + " body " + bytes + " of " + length + " after " + millis
                + " ms, " + waitedMillis + " ms after its last byte" + (sentWhole ? "" : ", request not sent whole") + (detail.isEmpty() ? "" : ", " + detail);
        }
    }

    private final int port;
    private final String host;
    private final String key;
    private Socket socket;
    private InputStream in;

    Client(int port, String host, String key) {
        this.port = port;
        this.host = host;
        this.key = key;
    }

    private void connect() throws IOException {
        if (socket != null && !socket.isClosed()) return;
        socket = new Socket();
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
        try {
            connect();
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + budgetMillis + "\r\nAuthorization: Token " + key + "\r\n"
                + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[bodyBytes]);
            out.flush();
            sentAt = System.nanoTime();
            timeout(start, budgetMillis);
            String line = Http.line(in);
            if (line == null) return ended(End.CLOSED, attempt, start, sentAt, 0, 0, -1, "end of channel");
            status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = Http.headers(in);
            length = Long.parseLong(headers.getOrDefault("content-length", "-1"));
            byte[] buffer = new byte[8192];
            while (got < length) {
                timeout(start, budgetMillis);
                int n = in.read(buffer, 0, (int) Math.min(buffer.length, length - got));
                if (n < 0) return ended(End.CLOSED, attempt, start, sentAt, status, got, length, "end of channel");
                got += n;
            }
            boolean last = "close".equalsIgnoreCase(headers.get("connection"));
            return answer(End.ANSWERED, attempt, start, sentAt, status, got, length, "", last);
        } catch (SocketTimeoutException e) {
            return ended(End.OUT_OF_TIME, attempt, start, sentAt, status, got, length, "");
        } catch (IOException e) {
            return ended(End.CLOSED, attempt, start, sentAt, status, got, length, String.valueOf(e.getMessage()));
        }
    }

    private void timeout(long start, long budgetMillis) throws IOException {
        long left = budgetMillis - millis(start);
        if (left <= 0) throw new SocketTimeoutException();
        socket.setSoTimeout((int) left);
    }

    private Answer ended(End end, String attempt, long start, long sentAt, int status, long got, long length,
                         String detail) {
        return answer(end, attempt, start, sentAt, status, got, length, detail, true);
    }

    private Answer answer(End end, String attempt, long start, long sentAt, int status, long got, long length,
                          String detail, boolean last) {
        if (last) close();
        long waited = sentAt == 0 ? 0 : millis(sentAt);
        return new Answer(attempt, end, status, got, length, sentAt != 0, millis(start), waited, detail);
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
