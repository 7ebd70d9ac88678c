import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 connection, read and written message by message. */
final class Http implements AutoCloseable {
    /** First line, header fields by lower-case name, and body of a message. */
    record Message(String first, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    final Socket socket;
    private final InputStream in;

    Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 4096);
    }

    private String line() throws IOException {
        StringBuilder out = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) throw new EOFException();
            if (c == '\n') return out.toString().stripTrailing();
            out.append((char) c);
        }
    }

    /** Reads first line and header fields. The body, if any, has to be read by {@link #body}. */
    Message head() throws IOException {
        String first = line();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(); !l.isEmpty(); l = line()) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(), l.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0], false);
    }

    /** Reads the body that belongs to {@code head}; an incomplete body is returned as such. */
    Message body(Message head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
                while (true) {
                    int size = Integer.parseInt(line().split(";")[0].strip(), 16);
                    copy(body, size);
                    line();
                    if (size == 0) break;
                }
            } else {
                String length = head.header("content-length");
                copy(body, length == null ? 0 : Integer.parseInt(length));
            }
            complete = true;
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // The peer closed or reset the channel within the body.
        }
        return new Message(head.first, head.headers, body.toByteArray(), complete);
    }

    private void copy(ByteArrayOutputStream to, int size) throws IOException {
        byte[] buffer = new byte[4096];
        for (int left = size; left > 0; ) {
            int n = in.read(buffer, 0, Math.min(left, buffer.length));
            if (n < 0) throw new EOFException();
            to.write(buffer, 0, n);
            left -= n;
        }
    }

    Message message() throws IOException {
        return body(head());
    }

    InputStream input() {
        return in;
    }

    void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Closes with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
