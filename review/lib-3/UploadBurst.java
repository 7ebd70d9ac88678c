import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with bodies of the permitted size to one gateway. For three seconds there are 1.7 times as many
 * of them.
 */
final class UploadBurst {
    private static final int USERS = 10;
    private static final int BURST_USERS = 17;
    private static final int SMALL_USERS = 10;
    private static final int BODY_BYTES = 4_194_304;
    private static final int SMALL_BODY_BYTES = 600;
    private static final long TIMEOUT_MILLIS = 2_000;

    /** An upload, the route's timeout and more than half a second, so that the client sees what comes then. */
    private static final long BUDGET_MILLIS = 8_000;
    private static final long NO_ANSWER_AFTER_MILLIS = TIMEOUT_MILLIS + 500;
    private static final long BEFORE_BURST_MILLIS = 4_000;
    private static final long BURST_MILLIS = 3_000;
    private static final long AFTER_BURST_MILLIS = 9_000;
    private static final long PAUSE_MILLIS = 100;

    /** About that of the smaller machines of the sites, 14 Mbit/s. */
    private static final Client.Link LINK = new Client.Link(0, 2_000_000, 0);
    private static final int MIN_BROKEN = 8;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final ConcurrentLinkedQueue<Client.Answer> ANSWERS = new ConcurrentLinkedQueue<>();

    private UploadBurst() {}

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
        Gateway g = d.gateway("zone-a");
        if (!g.awaitReady(20_000)) return 2;
        long start = System.currentTimeMillis();
        long end = start + BEFORE_BURST_MILLIS + BURST_MILLIS + AFTER_BURST_MILLIS;
        List<Thread> users = new ArrayList<>();
        for (int i = 0; i < SMALL_USERS; i++) {
            users.add(user(g, "/unsafe/small", "small", SMALL_BODY_BYTES, start, end));
        }
        for (int i = 0; i < USERS; i++) users.add(user(g, "/unsafe/upload", "upload", BODY_BYTES, start, end));
        if (trouble) {
            long from = start + BEFORE_BURST_MILLIS;
            for (int i = USERS; i < BURST_USERS; i++) {
                users.add(user(g, "/unsafe/upload", "burst", BODY_BYTES, from, from + BURST_MILLIS));
                users.add(user(g, "/unsafe/small", "burst-small", SMALL_BODY_BYTES, from, from + BURST_MILLIS));
            }
        }
        users.forEach(Thread::start);
        int notReady = 0;
        while (System.currentTimeMillis() < end) {
            Thread.sleep(1_000);
            if (g.ready()) continue;
            notReady++;
            d.note("no 200 to GET /ready within a second; process alive: " + g.alive());
        }
        for (Thread t : users) t.join(BUDGET_MILLIS + 1_000);
        return judge(d, notReady);
    }

    private static Thread user(Gateway g, String path, String name, int bytes, long from, long until) {
        return new Thread(() -> {
            try (Client c = new Client(g.callers, Deployment.HOST, Deployment.KEY, LINK)) {
                Thread.sleep(Math.max(0, from - System.currentTimeMillis()));
                while (System.currentTimeMillis() < until) {
                    ANSWERS.add(c.send("POST", path, name + "-" + IDS.incrementAndGet(), bytes, BUDGET_MILLIS));
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static int judge(Deployment d, int notReady) throws IOException {
        int late = 0;
        int broken = 0;
        int ranUnanswered = 0;
        int twice = 0;
        int closed = 0;
        for (Client.Answer a : ANSWERS) {
            int runs = d.runs(a.attempt());
            d.note(a + ", runs " + runs);
            if (runs > 1) twice++;
            if (a.end() == Client.End.CLOSED) closed++;
            if (!a.sentWhole() || a.waitedMillis() < TIMEOUT_MILLIS) continue;
            late++;
            if (a.waitedMillis() < NO_ANSWER_AFTER_MILLIS) continue;
            broken++;
            if (runs > 0) ranUnanswered++;
        }
        d.noteGateways("DEFECT");
        String sum = ANSWERS.size() + " requests; " + late + " unanswered at the route's timeout after their last byte, " + broken
            + " of them half a second later, of which " + ranUnanswered + " have run; " + closed
            + " channels closed without an answer; " + notReady + " status checks without a 200; " + twice + " ran twice";
        d.note(sum);
        System.out.println(sum);
        return broken >= MIN_BROKEN && broken * 2 > late ? 1 : 0;
    }
}
