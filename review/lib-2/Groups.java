import java.nio.file.*;
import java.util.*;

/**
 * Two groups of ranks serve one model service, each with its own passes. Checks that all ranks of a group have the same
 * map in each pass while other experts come into demand.
 */
final class Groups {
    private static final int RANKS = 6;
    private static final int SETS = 2;
    private static final int EXPERTS = 24;
    private static final int SPARE = 3;
    private static final long SHIFT_AT_MS = 15_000;
    private static final long SHIFT_EVERY_MS = 7_000;
    private static final long RUN_MS = 45_000;
    private static final String SERVICE = "model";

    /** Each rank has one of them with map 0. */
    private static final Set<Integer> EVEN = Set.of(0, 1, 2, 3, 4, 5);

    /** In each, half of the experts of the one before have changed; with map 0, one rank has four of them. */
    private static final List<Set<Integer>> SHIFTED = List.of(
        Set.of(0, 1, 2, 6, 12, 18), Set.of(3, 1, 2, 9, 15, 21), Set.of(3, 4, 5, 10, 16, 22), Set.of(0, 4, 5, 6, 12, 18));

    public static void main(String[] args) {
        Case.run(args, Groups::check);
    }

    private static int check(Path repository, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", manifest());
        List<RankGroup> groups = new ArrayList<>();
        groups.add(new RankGroup("g-a", RANKS, SETS, EXPERTS, SPARE, 400, 45, EVEN, record));
        // ONE_GROUP=1 is a control of the stand-in: the same shift of demand in a service with one group.
        if (!"1".equals(System.getenv("ONE_GROUP"))) {
            groups.add(new RankGroup("g-b", RANKS, SETS, EXPERTS, SPARE, 900, 50, EVEN, record));
        }
        int replicaPort = Http.freePort();
        int internal = Http.freePort();
        List<Program> agents = new ArrayList<>();
        try {
            for (int i = 0; i < groups.size() * RANKS; i++) {
                String host = "127.0.1." + (i + 1);
                int rank = i / groups.size();
                // The groups lie side by side in the zone: a0 b0 b1 a1 a2 b2 and so on.
                RankGroup group = groups.get((i + rank) % groups.size());
                group.serve(rank, host, replicaPort);
                register(store, "i-model" + i, host + ":" + replicaPort);
                agents.add(new Program(repository, temporary, "rank-agent", "side-" + (i + 1), Map.of(
                    "ip", Program.text(host), "zone", Program.text("south-a"),
                    "app", Program.text(host + ":" + replicaPort), "service", Program.text(SERVICE),
                    "internalPorts", "[" + internal + "," + (internal + 1) + "]",
                    "provider.address", Program.text("127.0.0.1:" + store.port))));
            }
            Thread.sleep(SHIFT_AT_MS);
            for (int i = 0; i < SHIFTED.size() && trouble; i++) {
                Set<Integer> next = SHIFTED.get(i);
                record.line("shift  other experts are in demand: " + new TreeSet<>(next));
                groups.forEach(g -> g.shift(next));
                Thread.sleep(SHIFT_EVERY_MS);
            }
            Thread.sleep(RUN_MS - SHIFT_AT_MS - (trouble ? SHIFTED.size() * SHIFT_EVERY_MS : 0));
            if (!agents.stream().allMatch(Program::alive)) {
                record.say("a rank agent has ended");
                return Case.NOT_RUN;
            }
            boolean broken = false;
            for (RankGroup g : groups) {
                g.stop();
                record.say("group " + g.name + ": " + g.changes + " changes of map, " + g.mixedPasses
                    + " passes began with different maps, longest hold " + g.longestHoldMs + " ms");
                broken |= g.mixedPasses > 0;
            }
            record.say(broken ? "MAP broken" : "MAP held");
            return broken ? Case.BROKEN : Case.HELD;
        } finally {
            agents.forEach(Program::kill);
        }
    }

    private static void register(Store store, String id, String address) {
        long born = System.currentTimeMillis();
        Http.daemon(() -> {
            for (int seq = 1; ; seq++) {
                store.put("servers/" + id, "{\"service\":\"" + SERVICE + "\",\"address\":\"" + address + "\",\"zone\":\"south-a\","
                    + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"combined\","
                    + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":" + born + ",\"seq\":" + seq + "}");
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"host\":\"shop.example\",\"pathPrefix\":\"/chat/\","
            + "\"kind\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"" + SERVICE
            + "\",\"maxAttempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\"targetGapMs\":120}],"
            + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":188,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":8,\"kvCapacityTokens\":248000,\"stride\":5,\"step_ms\":5.85,"
            + "\"per_seq_ms\":0.5325,\"context_per_k\":0.054,\"read_per_s\":61200.0,\"pairs_per_m\":0.325,\"chunk\":512,"
            + "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":835,\"answer\":139},\"sets\":" + SETS + ",\"experts\":" + EXPERTS
            + ",\"placements\":8,\"spare\":" + SPARE + ",\"expertMb\":780.0,\"expertShare\":0.85,\"form_ms\":600.0}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";
    }
}
