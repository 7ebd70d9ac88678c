import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves entries in the list of replicas. Then all gateways are killed and started again. */
final class ForeignCopies {
    private static final int ENTRIES = 80;

    /** valueBytes. */
    private static final int VALUE_BYTES = 1_048_576;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int USERS = 3;
    private static final long PAUSE_MILLIS = 50;

    /** Times from the beginning of traffic. */
    private static final long ENTRIES_AT = 5_000;
    private static final long KILL_AT = 10_000;
    private static final long BACK_AT = 12_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long END_AT = 32_000;
    private static final double MIN_SHARE = 0.25;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final ConcurrentLinkedQueue<Sent> SENT = new ConcurrentLinkedQueue<>();

    private record Sent(long at, Client.Answer answer) {
        boolean served() {
            return answer.end() == Client.End.ANSWERED && answer.status() == 200;
        }
    }

    private ForeignCopies() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment d = new Deployment(Path.of(args[0]), 3, 800, 20, TIMEOUT_MILLIS)) {
            code = run(d, trouble);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Deployment d, boolean trouble) throws IOException, InterruptedException {
        List<Gateway> gateways = List.of(d.gateway("zone-a"), d.gateway("zone-b"));
        for (Gateway g : gateways) if (!g.awaitReady(20_000)) return 2;
        long start = System.currentTimeMillis();
        List<Thread> users = new ArrayList<>();
        for (Gateway g : gateways) for (int i = 0; i < USERS; i++) users.add(user(g, start));
        users.forEach(Thread::start);
        sleepUntil(start + ENTRIES_AT);
        if (trouble) {
            String copy = "x".repeat(VALUE_BYTES);
            for (int i = 0; i < ENTRIES; i++) d.store.put("servers/archive-" + (100 + i), copy);
            d.note(ENTRIES + " entries of another writer");
        }
        sleepUntil(start + KILL_AT);
        for (Gateway g : gateways) g.close();
        d.note("all gateways killed");
        sleepUntil(start + BACK_AT);
        for (Gateway g : gateways) g.start();
        d.note("all gateways started again");
        for (Thread t : users) t.join(END_AT + 5_000);
        for (Gateway g : gateways) d.note("gateway " + g.callers + ": alive " + g.alive() + ", ready " + g.ready());
        return judge(d, start);
    }

    private static Thread user(Gateway g, long start) {
        return new Thread(() -> {
            try (Client c = new Client(g.callers, Deployment.HOST, Deployment.KEY)) {
                while (System.currentTimeMillis() < start + END_AT) {
                    long at = System.currentTimeMillis() - start;
                    SENT.add(new Sent(at, c.send("GET", "/safe/doc", "c-" + IDS.incrementAndGet(), 0, TIMEOUT_MILLIS)));
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static int judge(Deployment d, long start) throws IOException {
        for (Sent s : SENT) d.note("sent at " + s.at + " ms: " + s.answer + ", runs " + d.runs(s.answer.attempt()));
        d.noteGateways("DEFECT", "REPLICAS_CHANGED", "STORE_LOST", "READINESS");
        List<Sent> before = SENT.stream().filter(s -> s.at < KILL_AT).toList();
        List<Sent> after = SENT.stream().filter(s -> s.at > BACK_AT + RECOVERY_MILLIS).toList();
        long servedBefore = before.stream().filter(Sent::served).count();
        long servedAfter = after.stream().filter(Sent::served).count();
        String sum = "before the kill " + servedBefore + " of " + before.size() + " requests served; later than recoveryS after the start "
            + servedAfter + " of " + after.size();
        d.note(sum);
        System.out.println(sum);
        boolean wasSound = servedBefore >= before.size() * MIN_SHARE;
        return wasSound && servedAfter < after.size() * MIN_SHARE ? 1 : wasSound ? 0 : 2;
    }

    private static void sleepUntil(long at) throws InterruptedException {
        Thread.sleep(Math.max(0, at - System.currentTimeMillis()));
    }
}
