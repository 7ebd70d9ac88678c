import java.io.*;
import java.nio.file.*;
import java.util.*;

/**
 * Another writer leaves an entry beside those of the replicas that fills a page of the store, under a key with a space.
 * Later a replica reports that it is draining. Checks that it gets no requests that were sent after the bound.
 */
final class OddKey {
    private static final int CLIENTS = 16;
    private static final int DEADLINE_MS = 4_000;
    private static final long DRAIN_MS = 2_000;
    private static final long ENTRY_AT_MS = 8_000;
    private static final long DRAIN_AT_MS = 14_000;
    private static final long RUN_MS = 26_000;
    private static final int ENTRY_BYTES = 1_000_000;

    private static volatile long drainedAt = Long.MAX_VALUE / 2;

    public static void main(String[] args) {
        Case.run(args, OddKey::check);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static int check(Path repository, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", manifest());
        Map<String, Long> sentAt = Collections.synchronizedMap(new HashMap<>());
        List<String> late = Collections.synchronizedList(new ArrayList<>());
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            String id = "i-archive" + i;
            boolean leaves = i == 1;
            Replica[] self = new Replica[1];
            self[0] = new Replica(store, id, "archive", "south-a", 6, (m, in, out, s) -> {
                Http.readBody(in, m);
                String attempt = m.header("Attempt-Id");
                record.line("run    " + attempt + " at " + id);
                if (leaves && sentAt.get(attempt) > drainedAt + DRAIN_MS) late.add(attempt);
                Thread.sleep(60);
                out.write(self[0].answer(m, "200 OK", new byte[800]));
                return true;
            });
            replicas.add(self[0]);
        }
        List<Gateway> gateways = new ArrayList<>();
        try {
            for (int i = 1; i <= 2; i++) gateways.add(new Gateway(repository, temporary, "front-" + i, "south-a", store.port));
            for (Gateway g : gateways) {
                if (g.awaitReady()) continue;
                record.say("a gateway did not become ready");
                return Case.NOT_RUN;
            }
            long start = now();
            Map<String, Integer> ends = new TreeMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int k = 0; k < CLIENTS; k++) {
                int port = gateways.get(k % 2).callers;
                clients.add(Http.daemon(() -> call(new Client(port), start, sentAt, ends, record)));
            }
            Thread.sleep(ENTRY_AT_MS);
            if (trouble) {
                String junk = "x".repeat(ENTRY_BYTES);
                store.put("servers/i-archive1 (copy)", junk);
                record.line("entry  servers/i-archive1 (copy) of " + ENTRY_BYTES + " bytes");
            }
            Thread.sleep(DRAIN_AT_MS - ENTRY_AT_MS);
            replicas.get(0).drain();
            drainedAt = now();
            record.line("drain  i-archive1 reports that it is draining");
            for (Thread t : clients) t.join(RUN_MS);
            record.say("answers " + ends + "; requests sent later than " + DRAIN_MS + " ms after the report of i-archive1 that "
                + "reached it: " + late.size());
            record.say(late.isEmpty() ? "DRAIN held" : "DRAIN broken");
            return late.isEmpty() ? Case.HELD : Case.BROKEN;
        } finally {
            gateways.forEach(Gateway::kill);
        }
    }

    private static void call(Client c, long start, Map<String, Long> sentAt, Map<String, Integer> ends, Record record) {
        while (now() - start < RUN_MS) {
            String id = Client.nextId();
            sentAt.put(id, now());
            String end;
            try {
                end = Integer.toString(c.send("POST", "/release/1", id, DEADLINE_MS, new byte[600]).status());
            } catch (IOException e) {
                end = "channel ended";
                c.close();
            }
            record.line("answer " + id + " " + end);
            synchronized (ends) {
                ends.merge(end, 1, Integer::sum);
            }
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"release\",\"host\":\"shop.example\",\"pathPrefix\":\"/release/\","
            + "\"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"archive\","
            + "\"maxAttempts\":1,\"public\":true}],\"services\":[{\"name\":\"archive\",\"healthPath\":\"/health\","
            + "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
