import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;

/** Reads heads of HTTP messages. */
final class Http {
    private Http() {}

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') return text.toString();
            if (c != '\r') text.append((char) c);
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        while (true) {
            String line = line(in);
            if (line == null) throw new IOException("head cut");
            if (line.isEmpty()) return headers;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }
}
