import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store: keys, ranges, transactions and leases, always stable. */
final class Store {
    private record Item(String value, long revision, long created, long lease) { }

    private record Lease(long ttlMillis, long endsAtNanos) { }

    private record Answer(int status, String body) { }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private final HttpServer server;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a value as the operator or a replica does. Returns the revision once the store has accepted it. */
    synchronized long put(String key, byte[] value) {
        revision++;
        Item old = items.get(key);
        String text = Base64.getEncoder().encodeToString(value);
        items.put(key, new Item(text, revision, old == null ? revision : old.created, 0));
        return revision;
    }

    long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) revision++;
    }

    private void handle(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Answer answer = serve(call, body);
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(answer.status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private synchronized Answer serve(HttpExchange call, String body) {
        expire();
        String path = call.getRequestURI().getPath();
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getQuery();
        if (raw != null) {
            for (String p : raw.split("&")) query.put(p.split("=", 2)[0], p.contains("=") ? p.split("=", 2)[1] : "");
        }
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null ? new Answer(404, "{\"storeRevision\":" + revision + "}")
                : new Answer(200, json(query.get("key"), item, ",\"storeRevision\":" + revision));
        }
        if (path.equals("/kv-range")) return range(query.getOrDefault("pathPrefix", ""), query.get("after"));
        if (path.equals("/kv-lease")) {
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) Json.parse(body);
            long ttl = (Long) fields.get("ttlMs");
            long id = ++revision;
            leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
            return new Answer(200, "{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}");
        }
        if (path.startsWith("/kv-keep/")) {
            long id = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) return new Answer(404, "{}");
            leases.put(id, new Lease(lease.ttlMillis, System.nanoTime() + lease.ttlMillis * 1_000_000));
            return new Answer(200, "{\"lease\":" + id + ",\"ttlMs\":" + lease.ttlMillis + "}");
        }
        if (path.equals("/kv-txn")) return transaction(body);
        return new Answer(404, "{}");
    }

    private Answer range(String prefix, String after) {
        StringBuilder out = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Item> e : items.tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            if (count == 500) {
                more = true;
                break;
            }
            if (count++ > 0) out.append(',');
            out.append(json(e.getKey(), e.getValue(), ""));
        }
        return new Answer(200, "{\"items\":[" + out + "],\"hasMore\":" + more + ",\"storeRevision\":" + revision + "}");
    }

    @SuppressWarnings("unchecked")
    private Answer transaction(String body) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(body);
        StringBuilder current = new StringBuilder();
        boolean holds = true;
        for (Map<String, Object> row : rows(call, "precondition")) {
            String key = (String) row.get("key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision) == (Long) row.get("revision");
            if (current.length() > 0) current.append(',');
            current.append(json(key, item == null ? new Item("", 0, 0, 0) : item, ""));
        }
        if (!holds) return new Answer(412, "{\"items\":[" + current + "],\"storeRevision\":" + revision + "}");
        List<Map<String, Object>> writes = rows(call, "writes");
        for (Map<String, Object> w : writes) {
            Object lease = w.get("lease");
            if (lease != null && (Long) lease != 0 && !leases.containsKey((Long) lease)) return new Answer(404, "{}");
        }
        List<Object> deletes = (List<Object>) call.getOrDefault("deletes", List.of());
        if (!writes.isEmpty() || !deletes.isEmpty()) revision++;
        for (Map<String, Object> w : writes) {
            String key = (String) w.get("key");
            Item old = items.get(key);
            Object lease = w.get("lease");
            items.put(key, new Item((String) w.get("value"), revision, old == null ? revision : old.created,
                lease == null ? 0 : (Long) lease));
        }
        for (Object key : deletes) items.remove(key);
        return new Answer(200, "{\"revision\":" + revision + ",\"storeRevision\":" + revision + "}");
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> rows(Map<String, Object> call, String name) {
        return (List<Map<String, Object>>) call.getOrDefault(name, List.of());
    }

    private void expire() {
        long now = System.nanoTime();
        if (!leases.values().removeIf(l -> l.endsAtNanos < now)) return;
        if (items.values().removeIf(i -> i.lease != 0 && !leases.containsKey(i.lease))) revision++;
    }

    private static String json(String key, Item item, String more) {
        return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.created + ",\"lease\":" + item.lease + more + "}";
    }
}
