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

    Replica(Store store, String id, String service, String zone, int slots, Work work) throws IOException {
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
            for (int seq = 1; ; seq++) {
                store.put("servers/" + id, entry(seq));
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private String entry(int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" + born
            + ",\"seq\":" + seq + "}";
    }

    /** A complete answer of this replica to [request]. */
    byte[] answer(Http.Message request, String status, byte[] body) {
        return Http.response(status, "Attempt-Id: " + request.header("Attempt-Id") + "\r\nReplica-Seal: seal." + id
            + "\r\n", body);
    }
}
