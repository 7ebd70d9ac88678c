import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Minimal HTTP/1.1 messages over blocking sockets. */
final class Http {
    private Http() {}

    /** A request or response: its first line, its headers in order and its body. */
    static final class Message {
        final String firstLine;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        Message(String firstLine) {
            this.firstLine = firstLine;
        }

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message; null if the peer has closed the connection. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message m = new Message(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("connection closed within a head");
            if (line.isEmpty()) return m;
            int colon = line.indexOf(':');
            m.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a body that is framed by its length or by chunks. */
    static void readBody(InputStream in, Message m) throws IOException {
        String coding = m.header("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(required(readLine(in)).split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) throw new EOFException("connection closed within a chunk");
                out.write(chunk);
                required(readLine(in));
                if (size == 0) break;
            }
            m.body = out.toByteArray();
            return;
        }
        String length = m.header("Content-Length");
        if (length == null) return;
        int size = Integer.parseInt(length);
        m.body = in.readNBytes(size);
        if (m.body.length < size) throw new EOFException("connection closed within a body");
    }

    static Message read(InputStream in) throws IOException {
        Message m = readHead(in);
        if (m != null) readBody(in, m);
        return m;
    }

    private static String required(String line) throws IOException {
        if (line == null) throw new EOFException("connection closed within a body");
        return line;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("connection closed within a line");
            }
            if (b == '\n') break;
            out.write(b);
        }
        String line = out.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    static byte[] bytes(String head, byte[] body) {
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        return all;
    }

    static byte[] response(String status, String headers, byte[] body) {
        return bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n", body);
    }

    /** Finds a loopback port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    interface Handler {
        /** Returns false to close the connection. */
        boolean handle(Message request, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    /** Serves each connection on a thread of its own. */
    static ServerSocket serve(int port, Handler handler) throws IOException {
        return serve("127.0.0.1", port, handler);
    }

    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 512);
        daemon(() -> {
            while (!server.isClosed()) {
                Socket s;
                try {
                    s = server.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (s) {
                        s.setTcpNoDelay(true);
                        InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
                        OutputStream out = s.getOutputStream();
                        while (true) {
                            Message m = readHead(in);
                            if (m == null || !handler.handle(m, in, out, s)) return;
                        }
                    } catch (Exception e) {
                        // The peer has closed or reset the connection.
                    }
                });
            }
        });
        return server;
    }

    static Thread daemon(Runnable r) {
        Thread t = new Thread(null, r, "stand-in", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
