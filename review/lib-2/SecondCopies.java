import java.io.*;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Replicas send some answers without a length, and a second copy of the answer before behind them. Checks that a client
 * that gets a success has the whole body of its own answer and no other byte.
 */
final class SecondCopies {
    private static final int CLIENTS = 24;
    private static final int DEADLINE_MS = 4_000;
    private static final long RUN_MS = 40_000;
    private static final double SPOILT_SHARE = 0.05;

    public static void main(String[] args) {
        Case.run(args, SecondCopies::check);
    }

    private static byte[] bodyFor(String id) {
        return ("certificate of request " + id + "\n").repeat(20).getBytes(StandardCharsets.UTF_8);
    }

    private static int check(Path repository, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", manifest());
        for (int i = 1; i <= 3; i++) {
            String id = "i-archive" + i;
            boolean faulty = trouble && i <= 2;
            Random random = new Random(i);
            Map<Socket, byte[]> before = new ConcurrentHashMap<>();
            Replica[] self = new Replica[1];
            self[0] = new Replica(store, id, "archive", "south-a", 6, (m, in, out, s) -> {
                Http.readBody(in, m);
                String attempt = m.header("Attempt-Id");
                Thread.sleep(30);
                byte[] answer = self[0].answer(m, "200 OK", bodyFor(attempt));
                byte[] earlier = before.put(s, answer);
                boolean spoil;
                synchronized (random) {
                    spoil = faulty && earlier != null && random.nextDouble() < SPOILT_SHARE;
                }
                if (!spoil) {
                    record.line("run    " + attempt + " at " + id);
                    out.write(answer);
                    return true;
                }
                record.line("run    " + attempt + " at " + id + ", answered without a length, then a second copy of the answer before");
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: seal." + id + "\r\n\r\n",
                    bodyFor(attempt)));
                out.write(earlier);
                before.remove(s);
                return false;
            });
        }
        Gateway gateway = new Gateway(repository, temporary, "front-1", "south-a", store.port);
        try {
            if (gateway.awaitReady()) return play(gateway, record);
            record.say("the gateway did not become ready");
            return Case.NOT_RUN;
        } finally {
            gateway.kill();
        }
    }

    private static int play(Gateway gateway, Record record) throws Exception {
        long start = System.nanoTime() / 1_000_000;
        Map<String, Integer> ends = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS; k++) {
            boolean safe = k % 2 == 0;
            clients.add(Http.daemon(() -> {
                Client c = new Client(gateway.callers);
                while (System.nanoTime() / 1_000_000 - start < RUN_MS) {
                    String id = Client.nextId();
                    String end;
                    try {
                        Http.Message m = c.send(safe ? "GET" : "POST", safe ? "/lookup/1" : "/release/1", id, DEADLINE_MS,
                            new byte[safe ? 0 : 600]);
                        end = m.status() == 200 ? compare(id, m.body) : Integer.toString(m.status());
                    } catch (IOException e) {
                        end = "channel ended";
                        c.close();
                    }
                    record.line("answer " + id + " " + end);
                    synchronized (ends) {
                        ends.merge(end, 1, Integer::sum);
                    }
                    try {
                        Thread.sleep(150);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }));
        }
        for (Thread t : clients) t.join(RUN_MS + 8_000);
        record.say("answers: " + ends);
        boolean broken = ends.keySet().stream().anyMatch(e -> e.startsWith("200, "));
        record.say(broken ? "MIXED broken" : "MIXED held");
        return broken ? Case.BROKEN : Case.HELD;
    }

    private static String compare(String id, byte[] body) {
        if (Arrays.equals(body, bodyFor(id))) return "200";
        String text = new String(body, StandardCharsets.UTF_8);
        return text.contains("Replica-Seal") ? "200, with the answer of another request behind its own" : "200, with another body";
    }

    private static String manifest() {
        String route = "\"host\":\"shop.example\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,"
            + "\"service\":\"archive\",\"public\":true}";
        return "{\"version\":7,\"routes\":[{\"name\":\"lookup\",\"pathPrefix\":\"/lookup/\",\"kind\":\"safe\",\"maxAttempts\":2,"
            + route + ",{\"name\":\"release\",\"pathPrefix\":\"/release/\",\"kind\":\"unsafe\",\"maxAttempts\":1," + route
            + "],\"services\":[{\"name\":\"archive\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }
}
