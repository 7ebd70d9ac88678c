import java.io.*;
import java.net.*;
import java.util.*;

/** A replica of a plain service: its server and its entry in the store. */
class Replica {
    interface Work {
        /** Answers a request whose head was read; returns false to close the connection. */
        boolean handle(Http.Message request, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    final int port;
    private final String service;
    private final String zone;
    private final int slots;
    private final long born = System.currentTimeMillis();
    private final Store store;
    private volatile boolean draining;
    private int seq;

    Replica(Store store, String id, String service, String zone, int slots, Work work) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        ServerSocket server = Http.serve(0, (m, in, out, s) -> {
            String expected = m.header("Expect-Replica");
            if (expected != null && !expected.equals(id)) {
                out.write(Http.response("421 Misdirected Request", "Replica-Id: " + id + "\r\n", new byte[0]));
                return false;
            }
            return work.handle(m, in, out, s);
        });
        port = server.getLocalPort();
        Http.daemon(() -> {
            while (true) {
                checkIn();
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private synchronized void checkIn() {
        store.put("servers/" + id, entry(++seq));
    }

    /** Reports that the replica is draining; the store has accepted the report when this returns. */
    void drain() {
        draining = true;
        checkIn();
    }

    private String entry(int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"coldRemainingMs\":0,\"born\":" + born
            + ",\"seq\":" + seq + "}";
    }

    /** A complete answer of this replica to [request]. */
    byte[] answer(Http.Message request, String status, byte[] body) {
        return Http.response(status, "Attempt-Id: " + request.header("Attempt-Id") + "\r\nReplica-Seal: seal." + id
            + "\r\n", body);
    }
}
