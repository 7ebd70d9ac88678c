import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.regex.*;

/** The platform's store, as PROTOCOL.md describes it. */
final class Store {
    private static final class Item {
        String value;
        long revision;
        long created;
        long lease;
    }

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7000;
    private final long era = 0;
    final int port;

    Store() throws IOException {
        ServerSocket server = Http.serve(0, (m, in, out, s) -> {
            if (m.firstLine.split(" ").length != 3) {
                out.write(Http.response("400 Bad Request", "Connection: close\r\n", new byte[0]));
                return false;
            }
            Http.readBody(in, m);
            String[] answer = call(m.method(), m.target(), m.text());
            byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
            String head = "Content-Type: application/json\r\nStore-Era: " + era + "\r\n";
            out.write(Http.response(answer[0], head, body));
            return true;
        });
        port = server.getLocalPort();
    }

    /** Writes as the operator or a replica does. */
    synchronized long put(String key, String text) {
        return write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private long write(String key, String value, long lease) {
        Item item = items.computeIfAbsent(key, k -> new Item());
        item.value = value;
        item.revision = ++revision;
        if (item.created == 0) item.created = revision;
        item.lease = lease;
        return revision;
    }

    private void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, l) -> {
            if (now >= l.endsAt) ended.add(id);
        });
        ended.forEach(this::end);
    }

    private void end(long id) {
        leases.remove(id);
        if (items.values().removeIf(i -> i.lease == id)) revision++;
    }

    /** The items behind the key [after], at most 500 and no more once they have a megabyte. */
    private String page(String prefix, String after) {
        List<String> found = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Item> e : items.tailMap(after, false).entrySet()) {
            if (!e.getKey().startsWith(prefix)) continue;
            if (found.size() >= 500 || bytes >= 1_000_000) {
                more = true;
                break;
            }
            String item = json(e.getKey(), e.getValue());
            found.add(item);
            bytes += item.length();
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"storeRevision\":" + revision + "}";
    }

    private synchronized String[] call(String method, String target, String body) {
        expire();
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = query(target);
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null ? answer("404 Not Found", "{}") : answer("200 OK", json(query.get("key"), item));
        }
        if (path.equals("/kv-range")) {
            return answer("200 OK", page(query.get("pathPrefix"), query.getOrDefault("after", "")));
        }
        if (path.equals("/kv-lease")) {
            Lease l = new Lease();
            l.ttlMs = number(body, "ttlMs");
            l.endsAt = System.nanoTime() / 1_000_000 + l.ttlMs;
            leases.put(++nextLease, l);
            return answer("200 OK", "{\"lease\":" + nextLease + ",\"ttlMs\":" + l.ttlMs + "}");
        }
        if (path.startsWith("/kv-keep/")) {
            Lease l = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
            if (l == null) return answer("404 Not Found", "{}");
            l.endsAt = System.nanoTime() / 1_000_000 + l.ttlMs;
            return answer("200 OK", "{\"ttlMs\":" + l.ttlMs + "}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return answer("200 OK", "{}");
        }
        if (path.equals("/kv-txn")) return transaction(body);
        return answer("404 Not Found", "{}");
    }

    private String[] transaction(String body) {
        String conditions = section(body, "precondition");
        List<String> current = new ArrayList<>();
        boolean holds = true;
        Matcher row = Pattern.compile("\\{[^}]*\\}").matcher(conditions);
        while (row.find()) {
            String key = text(row.group(), "key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision) == number(row.group(), "revision");
            current.add(item == null ? "{\"key\":\"" + key + "\",\"revision\":0}" : json(key, item));
        }
        if (!holds) return answer("412 Precondition Failed", "{\"items\":[" + String.join(",", current) + "]}");
        Matcher write = Pattern.compile("\\{[^}]*\\}").matcher(section(body, "writes"));
        List<String> writes = new ArrayList<>();
        while (write.find()) writes.add(write.group());
        for (String w : writes) {
            long lease = number(w, "lease");
            if (lease != 0 && !leases.containsKey(lease)) return answer("404 Not Found", "{}");
        }
        for (String w : writes) write(text(w, "key"), text(w, "value"), number(w, "lease"));
        return answer("200 OK", "{\"revision\":" + revision + "}");
    }

    private static String[] answer(String status, String body) {
        return new String[] {status, body};
    }

    private static String json(String key, Item i) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + i.value + "\",\"revision\":" + i.revision
            + ",\"created\":" + i.created + ",\"lease\":" + i.lease + "}";
    }

    private static String section(String body, String name) {
        int from = body.indexOf("\"" + name + "\"");
        if (from < 0) return "";
        int open = body.indexOf('[', from);
        return body.substring(open, body.indexOf(']', open) + 1);
    }

    private static String text(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    private static long number(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*(-?\\d+)").matcher(json);
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> q = new HashMap<>();
        if (!target.contains("?")) return q;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int eq = pair.indexOf('=');
            q.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return q;
    }
}
