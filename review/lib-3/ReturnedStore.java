import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is revoked while one of two gateways is restarted as planned. Then the store comes back from a copy that is some
 * seconds old, and the operator writes its manifest again some seconds later.
 */
final class ReturnedStore {
    private static final long TIMEOUT_MILLIS = 600;

    /** Times from the confirmation of the manifest that revokes the key. */
    private static final long COPY_AT = -3_000;
    private static final long SIGTERM_AT = -1_600;
    private static final long STORE_LEAVES_AT = 1_200;
    private static final long STORE_RETURNS_AT = 2_600;
    private static final long WRITTEN_AGAIN_AT = 6_100;
    private static final long END_AT = 10_000;
    private static final long REVOKE_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 50;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final ConcurrentLinkedQueue<Sent> SENT = new ConcurrentLinkedQueue<>();
    private static volatile long end;

    private record Sent(long at, String gateway, String key, Client.Answer answer) {}

    private ReturnedStore() {}

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
        Gateway staying = d.gateway("zone-a");
        Gateway restarted = d.gateway("zone-b");
        if (!staying.awaitReady(20_000) || !restarted.awaitReady(20_000)) return 2;
        long revokedAt = System.currentTimeMillis() + 5_000;
        end = revokedAt + END_AT;
        List<Thread> users = new ArrayList<>();
        for (String key : List.of(Deployment.KEY, Deployment.OTHER_KEY, Deployment.NEXT_OTHER_KEY)) {
            users.add(user(staying, "staying", key));
            users.add(user(restarted, "restarted", key));
        }
        users.forEach(Thread::start);

        sleepUntil(revokedAt + COPY_AT);
        d.store.copy();
        d.note("copy of the store");
        sleepUntil(revokedAt + SIGTERM_AT);
        restarted.terminate();
        d.note("SIGTERM of one gateway");
        Thread starter = new Thread(() -> startAgain(d, restarted));
        starter.start();
        sleepUntil(revokedAt);
        d.store.put("op/config", Deployment.configuration(Deployment.FIRST_VERSION + 1, Deployment.NEXT_OTHER_KEY, TIMEOUT_MILLIS));
        long confirmedAt = System.currentTimeMillis();
        d.note("manifest that revokes " + Deployment.OTHER_KEY + " confirmed");
        if (trouble) returnFromCopy(d, revokedAt);
        for (Thread t : users) t.join(END_AT + 10_000);
        starter.join(1_000);
        return judge(d, confirmedAt);
    }

    private static void returnFromCopy(Deployment d, long revokedAt) throws InterruptedException {
        sleepUntil(revokedAt + STORE_LEAVES_AT);
        d.store.leave();
        d.note("store away");
        sleepUntil(revokedAt + STORE_RETURNS_AT);
        d.store.returnFromCopy();
        d.note("store back from the copy");
        sleepUntil(revokedAt + WRITTEN_AGAIN_AT);
        d.store.put("op/config", Deployment.configuration(Deployment.FIRST_VERSION + 1, Deployment.NEXT_OTHER_KEY, TIMEOUT_MILLIS));
        d.note("manifest written again");
    }

    /** Starts the gateway again once it has ended, as in a rolling restart. */
    private static void startAgain(Deployment d, Gateway g) {
        try {
            if (!g.awaitEnd(8_000)) return;
            g.start();
            d.note("gateway started again");
            if (g.awaitReady(8_000)) d.note("gateway ready again");
        } catch (IOException e) {
            d.note("not started: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread user(Gateway g, String name, String key) {
        return new Thread(() -> {
            try (Client c = new Client(g.callers, Deployment.HOST, key)) {
                while (System.currentTimeMillis() < end) {
                    long at = System.currentTimeMillis();
                    SENT.add(new Sent(at, name, key, c.send("POST", "/unsafe/doc", "r-" + IDS.incrementAndGet(), 600, TIMEOUT_MILLIS)));
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static int judge(Deployment d, long confirmedAt) throws IOException {
        int late = 0;
        int broken = 0;
        int served = 0;
        for (Sent s : SENT) {
            long after = s.at - confirmedAt;
            int runs = d.runs(s.answer.attempt());
            d.note("sent " + after + " ms after the confirmation to the gateway " + s.gateway + " with key " + s.key + ": " + s.answer + ", runs " + runs);
            if (runs > 0) served++;
            if (!s.key.equals(Deployment.OTHER_KEY) || after <= REVOKE_MILLIS) continue;
            late++;
            if (runs > 0) broken++;
        }
        d.noteGateways("CONFIGURATION", "STORE_ERA", "READINESS");
        String sum = SENT.size() + " requests, " + served + " ran; of " + late + " sent with the revoked key later than revokeMs after its revocation, "
            + broken + " ran";
        d.note(sum);
        System.out.println(sum);
        return broken > 0 ? 1 : 0;
    }

    private static void sleepUntil(long at) throws InterruptedException {
        Thread.sleep(Math.max(0, at - System.currentTimeMillis()));
    }
}
