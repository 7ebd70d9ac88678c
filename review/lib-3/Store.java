import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: keys with revisions, conditional transactions and leases.
 *
 * Reads are linearizable also where a stale one would do. Watches are not offered; the programs under test use none.
 */
final class Store implements AutoCloseable {
    private record Item(String value, long revision, long created, long lease) {}

    private record Lease(long ttlMillis, long expiresMillis) {}

    /** A page has no more items than this, and ends with the item that exceeds this size. */
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final Pattern OBJECT = Pattern.compile("\\{([^{}]*)}");
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final TreeMap<String, Item> copiedItems = new TreeMap<>();
    private final Map<Long, Lease> copiedLeases = new HashMap<>();
    private final HttpServer server;
    private long revision = 10;
    private long copiedRevision;
    private long era = 1;
    private boolean away;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread t = new Thread(task, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes as the operator or a replica does. */
    synchronized long put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        return revision;
    }

    /** Makes the copy from which the store comes back. */
    synchronized void copy() {
        expire();
        copiedItems.clear();
        copiedItems.putAll(items);
        copiedLeases.clear();
        copiedLeases.putAll(leases);
        copiedRevision = revision;
    }

    /** From now on, calls get no answer and have no effect. */
    synchronized void leave() {
        away = true;
    }

    /** Comes back from the copy, in the next era. The leases of the copy begin anew. */
    synchronized void returnFromCopy() {
        items.clear();
        items.putAll(copiedItems);
        leases.clear();
        long now = System.currentTimeMillis();
        copiedLeases.forEach((id, l) -> leases.put(id, new Lease(l.ttlMillis, now + l.ttlMillis)));
        revision = copiedRevision;
        era++;
        away = false;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        items.put(key, new Item(value, at, before == null ? at : before.created, lease));
    }

    private void handle(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Object[] answer;
        long answeredIn;
        try {
            synchronized (this) {
                if (away) {
                    call.close();
                    return;
                }
                answeredIn = era;
                answer = serve(call.getRequestURI().getPath(), query(call.getRequestURI().getRawQuery()), body);
            }
        } catch (RuntimeException e) {
            call.sendResponseHeaders(400, -1);
            call.close();
            return;
        }
        byte[] bytes = ((String) answer[1]).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.getResponseHeaders().set("Store-Era", Long.toString(answeredIn));
        call.sendResponseHeaders((Integer) answer[0], bytes.length);
        try (var out = call.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        if (raw == null) return fields;
        for (String part : raw.split("&")) {
            int eq = part.indexOf('=');
            fields.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }

    private Object[] serve(String path, Map<String, String> query, String body) {
        expire();
        if (path.equals("/kv-key")) {
            Item item = items.get(query.getOrDefault("key", ""));
            return item == null
                ? new Object[] {404, "{\"storeRevision\":" + revision + "}"}
                : new Object[] {200, json(query.get("key"), item, true)};
        }
        if (path.equals("/kv-range")) return new Object[] {200, range(query)};
        if (path.equals("/kv-lease")) {
            long ttl = number(body, "ttlMs", 1000);
            long id = ++revision;
            leases.put(id, new Lease(ttl, System.currentTimeMillis() + ttl));
            return new Object[] {200, "{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}"};
        }
        if (path.startsWith("/kv-keep/")) {
            long id = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease held = leases.get(id);
            if (held == null) return new Object[] {404, "{}"};
            leases.put(id, new Lease(held.ttlMillis, System.currentTimeMillis() + held.ttlMillis));
            return new Object[] {200, "{\"ttlMs\":" + held.ttlMillis + "}"};
        }
        if (path.startsWith("/kv-lease-end/")) {
            leases.remove(Long.parseLong(path.substring("/kv-lease-end/".length())));
            expire();
            return new Object[] {200, "{}"};
        }
        return path.equals("/kv-txn") ? transaction(body) : new Object[] {404, "{}"};
    }

    private void expire() {
        long now = System.currentTimeMillis();
        leases.values().removeIf(l -> l.expiresMillis < now);
        if (items.values().removeIf(i -> i.lease != 0 && !leases.containsKey(i.lease))) revision++;
    }

    private String range(Map<String, String> query) {
        String prefix = query.getOrDefault("pathPrefix", "");
        List<String> found = new ArrayList<>();
        int size = 0;
        boolean more = false;
        for (var e : items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (!e.getKey().startsWith(prefix)) continue;
            more = found.size() >= PAGE_ITEMS || size >= PAGE_BYTES;
            if (more) break;
            String item = json(e.getKey(), e.getValue(), false);
            found.add(item);
            size += item.length();
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"storeRevision\":" + revision + "}";
    }

    private Object[] transaction(String body) {
        List<String> conditions = objects(body, "precondition");
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (String c : conditions) {
            String key = text(c, "key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision) == number(c, "revision", 0);
            current.add(item == null ? "{\"key\":\"" + key + "\",\"revision\":0}" : json(key, item, false));
        }
        if (!holds) {
            return new Object[] {
                412, "{\"items\":[" + String.join(",", current) + "],\"storeRevision\":" + revision + "}"
            };
        }
        List<String> writes = objects(body, "writes");
        for (String w : writes) {
            long lease = number(w, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, "{}"};
        }
        if (!writes.isEmpty()) revision++;
        for (String w : writes) write(text(w, "key"), text(w, "value"), number(w, "lease", 0), revision);
        return new Object[] {200, "{\"revision\":" + revision + "}"};
    }

    private String json(String key, Item item, boolean withStore) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.created + ",\"lease\":" + item.lease
            + (withStore ? ",\"storeRevision\":" + revision : "") + "}";
    }

    /** Returns the objects of the list [name]; none of the calls nests objects deeper. */
    private static List<String> objects(String body, String name) {
        int start = body.indexOf("\"" + name + "\"");
        List<String> found = new ArrayList<>();
        if (start < 0) return found;
        Matcher m = OBJECT.matcher(body.substring(start, body.indexOf(']', start)));
        while (m.find()) found.add(m.group());
        return found;
    }

    private static String text(String object, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(object);
        return m.find() ? m.group(1) : "";
    }

    private static long number(String object, String name, long otherwise) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(object);
        return m.find() ? Long.parseLong(m.group(1)) : otherwise;
    }
}
