import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients on slow links get answers of some size from one of two gateways, which is then stopped as planned. */
final class StoppedDownloads {
    private static final int USERS = 5;

    /** As much as a request may have; the socket buffers of the loopback device hold more than half of it. */
    private static final int ANSWER_BYTES = 4_194_304;
    private static final Client.Link LINK = new Client.Link(16_384, 0, 700_000);
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final long BUDGET_MILLIS = 8_000;
    private static final long BEFORE_STOP_MILLIS = 8_000;

    /** graceS, and a second. */
    private static final long STOP_MILLIS = 9_000;
    private static final long STAGGER_MILLIS = 1_200;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final ConcurrentLinkedQueue<Client.Answer> ANSWERS = new ConcurrentLinkedQueue<>();

    private StoppedDownloads() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment d = new Deployment(Path.of(args[0]), 3, ANSWER_BYTES, 20, TIMEOUT_MILLIS)) {
            code = run(d, trouble);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Deployment d, boolean trouble) throws IOException, InterruptedException {
        Gateway stopped = d.gateway("zone-a");
        Gateway other = d.gateway("zone-b");
        if (!stopped.awaitReady(20_000) || !other.awaitReady(20_000)) return 2;
        long start = System.currentTimeMillis();
        List<Thread> users = new ArrayList<>();
        for (int i = 0; i < USERS; i++) {
            long from = start + i * STAGGER_MILLIS;
            users.add(new Thread(() -> use(stopped, other, from, start + BEFORE_STOP_MILLIS + STOP_MILLIS)));
        }
        users.forEach(Thread::start);
        Thread.sleep(BEFORE_STOP_MILLIS);
        long stoppedAt = System.currentTimeMillis();
        if (trouble) {
            d.note("SIGTERM");
            stopped.terminate();
        }
        for (Thread t : users) t.join(STOP_MILLIS + BUDGET_MILLIS);
        d.note("stopped gateway alive: " + stopped.alive());
        return judge(d, stoppedAt);
    }

    /** A client that moves to the other gateway when its own closes the channel or refuses a request. */
    private static void use(Gateway first, Gateway second, long from, long until) {
        try (Client a = new Client(first.callers, Deployment.HOST, Deployment.KEY, LINK);
             Client b = new Client(second.callers, Deployment.HOST, Deployment.KEY, LINK)) {
            Thread.sleep(Math.max(0, from - System.currentTimeMillis()));
            Client c = a;
            while (System.currentTimeMillis() < until) {
                String id = (c == a ? "first-" : "second-") + IDS.incrementAndGet();
                Client.Answer answer = c.send("GET", "/safe/doc", id, 0, BUDGET_MILLIS);
                ANSWERS.add(answer);
                if (answer.end() != Client.End.ANSWERED || answer.status() != 200) c = b;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(Deployment d, long stoppedAt) throws IOException {
        int cut = 0;
        int whole = 0;
        for (Client.Answer a : ANSWERS) {
            boolean replicaDone = d.answeredWhole(a.attempt());
            d.note(a + ", runs " + d.runs(a.attempt()) + ", answered whole by its replica: " + replicaDone);
            if (a.end() == Client.End.ANSWERED) whole++;
            if (a.end() == Client.End.CLOSED && a.sentWhole() && replicaDone && a.millis() < BUDGET_MILLIS) cut++;
        }
        d.noteGateways("STOP", "DEFECT");
        String sum = ANSWERS.size() + " requests, " + whole + " answered; " + cut
            + " channels ended within an answer that the replica had given whole";
        d.note(sum);
        System.out.println(sum);
        return cut > 0 ? 1 : 0;
    }
}
