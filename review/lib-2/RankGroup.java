import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.regex.*;

/** The ranks of one group, as PROTOCOL.md describes them: passes in lock-step, and orders about the expert map. */
final class RankGroup {
    private static final int COPY_MS = 150;

    private static final class Rank {
        long version;
        String map;
        long highest;
        long prepared;
        String preparedMap;
        long preparedAt;
        long armed;
        long armedStep;
        long held;
        long[] counts;
    }

    final String name;
    final int size;
    private final int sets;
    private final int experts;
    private final int spare;
    private final Record record;
    private final List<Rank> ranks = new ArrayList<>();
    private long step;
    private boolean stopped;

    /** Experts that half of the tokens of a pass choose. */
    private volatile Set<Integer> popular;

    /** Number of passes that began with different maps, and of changes of the map. */
    int mixedPasses;
    int changes;
    private long heldSince;
    long longestHoldMs;

    RankGroup(String name, int size, int sets, int experts, int spare, long step, int passMs, Set<Integer> popular, Record record) {
        this.name = name;
        this.size = size;
        this.sets = sets;
        this.experts = experts;
        this.spare = spare;
        this.step = step;
        this.popular = popular;
        this.record = record;
        String first = firstMap();
        for (int r = 0; r < size; r++) {
            Rank rank = new Rank();
            rank.map = first;
            rank.counts = new long[sets * experts];
            ranks.add(rank);
        }
        Http.daemon(() -> {
            while (true) {
                pass();
                try {
                    Thread.sleep(passMs);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private String firstMap() {
        StringBuilder set = new StringBuilder("[");
        for (int r = 0; r < size; r++) {
            List<String> own = new ArrayList<>();
            for (int e = r; e < experts; e += size) own.add(Integer.toString(e));
            set.append(r == 0 ? "[" : ",[").append(String.join(",", own)).append("]");
        }
        set.append("]");
        return "[" + String.join(",", Collections.nCopies(sets, set.toString())) + "]";
    }

    /** Other experts are in demand from now on. */
    void shift(Set<Integer> next) {
        popular = next;
    }

    synchronized void stop() {
        stopped = true;
    }

    private synchronized void pass() {
        if (stopped) return;
        for (Rank r : ranks) {
            if (r.held == step + 1) {
                if (heldSince == 0) heldSince = System.nanoTime();
                longestHoldMs = Math.max(longestHoldMs, (System.nanoTime() - heldSince) / 1_000_000);
                return;
            }
        }
        heldSince = 0;
        step++;
        boolean switched = false;
        for (Rank r : ranks) {
            if (r.armed != 0 && r.armedStep == step) {
                r.version = r.armed;
                r.map = r.preparedMap;
                r.armed = 0;
                r.prepared = 0;
                switched = true;
            }
            for (int i = 0; i < r.counts.length; i++) r.counts[i] += popular.contains(i % experts) ? 400 : 10;
        }
        if (switched) changes++;
        Set<String> maps = new HashSet<>();
        for (Rank r : ranks) maps.add(r.version + " " + r.map);
        if (maps.size() > 1) {
            if (mixedPasses++ < 20) record.line("pass   " + step + " of " + name + " begins with maps " + versions());
        } else if (switched) {
            record.line("pass   " + step + " of " + name + " begins with a new map, " + versions());
        }
    }

    private String versions() {
        StringBuilder text = new StringBuilder();
        for (int r = 0; r < size; r++) text.append(" rank ").append(r).append(": ").append(ranks.get(r).version);
        return text.toString().trim();
    }

    private boolean copied(Rank r) {
        return r.prepared != 0 && System.nanoTime() / 1_000_000 >= r.preparedAt;
    }

    private synchronized String report(int index) {
        Rank r = ranks.get(index);
        return "{\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
            + "\"queued\":0,\"running\":4,\"kvUsed\":1000,\"kvTotal\":90000,\"handles\":0,\"pace\":1.0,\"group\":{\"name\":\""
            + name + "\",\"epoch\":1,\"rank\":" + index + ",\"state\":\"open\"},\"size\":" + size + ",\"step\":" + step
            + ",\"mapping\":" + r.version + ",\"prepared\":" + (copied(r) ? r.prepared : "null") + ",\"armed\":"
            + (r.armed == 0 ? "null" : "{\"version\":" + r.armed + ",\"step\":" + r.armedStep + "}") + ",\"held\":"
            + (r.held == 0 ? "null" : r.held) + "}";
    }

    private synchronized String counts(int index) {
        StringJoiner all = new StringJoiner(",", "[", "]");
        for (long c : ranks.get(index).counts) all.add(Long.toString(c));
        return "{\"step\":" + step + ",\"epoch\":1,\"counts\":" + all + "}";
    }

    private synchronized String lists(int index) {
        Rank r = ranks.get(index);
        return "{\"mapping\":{\"version\":" + r.version + ",\"experts\":" + own(r.map, index) + "},\"prepared\":"
            + (copied(r) ? "{\"version\":" + r.prepared + ",\"experts\":" + own(r.preparedMap, index) + "}" : "null") + "}";
    }

    /** The experts of rank [index] by set. */
    private String own(String map, int index) {
        StringJoiner all = new StringJoiner(",", "[", "]");
        for (List<String> set : parse(map)) all.add(set.get(index));
        return all.toString();
    }

    /** The lists of the ranks, by set. */
    private static List<List<String>> parse(String map) {
        List<List<String>> all = new ArrayList<>();
        Matcher set = Pattern.compile("\\[(?:\\[[^\\[\\]]*\\],?)+\\]").matcher(map);
        while (set.find()) {
            List<String> ranks = new ArrayList<>();
            Matcher rank = Pattern.compile("\\[[^\\[\\]]*\\]").matcher(set.group());
            while (rank.find()) ranks.add(rank.group());
            all.add(ranks);
        }
        return all;
    }

    private synchronized int order(int index, String body) {
        Rank r = ranks.get(index);
        int status = execute(r, index, body);
        String shown = body.length() > 90 ? body.substring(0, 60) + " ..." : body;
        record.line("order  " + name + " rank " + index + " at pass " + step + ": " + status + " " + shown);
        return status;
    }

    private int execute(Rank r, int index, String body) {
        if (body.contains("\"epoch\":") && number(body, "epoch") != 1) return 409;
        long version = number(body, "version");
        long at = number(body, "step");
        switch (text(body, "operation")) {
            case "prepare":
                if (version <= r.highest || r.armed != 0) return 409;
                String map = body.substring(body.indexOf("\"mapping\":") + 10, body.lastIndexOf("]") + 1);
                if (added(r.map, map, index) > spare) return 409;
                r.highest = version;
                r.prepared = version;
                r.preparedMap = map;
                r.preparedAt = System.nanoTime() / 1_000_000 + COPY_MS;
                return 202;
            case "arm":
                if (!copied(r) || r.prepared != version || at <= step) return 409;
                r.armed = version;
                r.armedStep = at;
                return 202;
            case "disarm":
                if (r.version == version) return 409;
                if (r.armed == version) r.armed = 0;
                return 200;
            case "hold":
                if (at <= step || (r.held != 0 && r.held != at)) return 409;
                r.held = at;
                return 202;
            case "go":
                if (r.held == at) r.held = 0;
                return 200;
            default:
                return 400;
        }
    }

    /** The largest number of experts that [next] adds to rank [index] in a set. */
    private static int added(String before, String next, int index) {
        List<List<String>> old = parse(before);
        List<List<String>> now = parse(next);
        int most = 0;
        for (int s = 0; s < old.size(); s++) {
            Set<String> more = new HashSet<>(List.of(now.get(s).get(index).replaceAll("[\\[\\]]", "").split(",")));
            more.removeAll(List.of(old.get(s).get(index).replaceAll("[\\[\\]]", "").split(",")));
            most = Math.max(most, more.size());
        }
        return most;
    }

    private static long number(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*(-?\\d+)").matcher(json);
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }

    private static String text(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    /** Serves rank [index] at [host] and [port]. */
    void serve(int index, String host, int port) throws IOException {
        Http.serve(host, port, (m, in, out, s) -> {
            Http.readBody(in, m);
            String path = m.target();
            if (path.equals("/order")) {
                out.write(Http.response(status(order(index, m.text())), "Content-Type: application/json\r\n", new byte[0]));
                return true;
            }
            String body = path.startsWith("/report") ? report(index) : path.contains("lists") ? lists(index) : counts(index);
            out.write(Http.response("200 OK", "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8)));
            return true;
        });
    }

    private static String status(int code) {
        return code + (code == 409 ? " Conflict" : code == 202 ? " Accepted" : code == 400 ? " Bad Request" : " OK");
    }
}
