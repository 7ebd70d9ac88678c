import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of a replica: registers itself, checks the id in Expect-Replica, and serves one request at a time on a
 * channel. A handler gives the answers.
 */
final class Replica {
    interface Handler {
        /** Answers a request. Returns false if the channel has been closed. */
        boolean serve(Replica replica, Http http, Http.Message request, int use) throws Exception;
    }

    final String id;
    private final Deployment deployment;
    private final String service;
    private final int slots;
    private final long born = System.currentTimeMillis();
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile String state = "ready";
    private volatile boolean registered = true;
    private int seq;

    Replica(Deployment deployment, String id, String service, int slots, Handler handler) throws IOException {
        this(deployment, id, service, slots, new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1")), handler);
    }

    Replica(Deployment deployment, String id, String service, int slots, ServerSocket server, Handler handler) {
        this.deployment = deployment;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.server = server;
        this.handler = handler;
        Deployment.start("replica " + id, this::accept);
        register();
        Deployment.start("check-in " + id, () -> {
            while (registered) {
                Thread.sleep(1200);
                if (registered) register();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private synchronized void register() {
        deployment.store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address()
            + "\",\"zone\":\"" + Deployment.ZONE + "\",\"version\":\"1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"coldRemainingMs\":0,\"seq\":" + (++seq) + ",\"born\":" + born + "}");
    }

    /** Reports that it is draining; returns once the store has accepted it. */
    void drain() {
        state = "draining";
        register();
    }

    /** Removes its entry and ends. */
    void end() throws IOException {
        registered = false;
        deployment.store.remove("servers/" + id);
        server.close();
        for (Socket s : sockets) s.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                sockets.add(s);
                Deployment.start("channel of " + id, () -> {
                    try (Http http = new Http(s)) {
                        serve(http);
                    } catch (IOException e) {
                        // The caller closed the channel.
                    } finally {
                        sockets.remove(s);
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Http http) throws Exception {
        for (int use = 1; ; use++) {
            Http.Message head = http.head();
            if (head.path().equals("/health")) {
                http.body(head);
                boolean healthy = state.equals("ready");
                http.write("HTTP/1.1 " + (healthy ? "200 OK" : "503 Service Unavailable") + "\r\nReplica-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            String expected = head.header("Expect-Replica");
            if (expected != null && !expected.equals(id)) {
                http.body(head);
                http.write(answer(421, head, "").replace("\r\n\r\n", "\r\nNot-Executed: 1\r\n\r\n"));
                continue;
            }
            if (!handler.serve(this, http, head, use)) return;
        }
    }

    /** A complete answer with the id of the request and the seal of this replica. */
    String answer(int status, Http.Message request, String body) {
        return head(status, request) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Head of an answer without the fields that give its length, and without the empty line. */
    String head(int status, Http.Message request) {
        String reason = switch (status) {
            case 200 -> "OK";
            case 421 -> "Misdirected Request";
            case 500 -> "Internal Server Error";
            default -> "Service Unavailable";
        };
        String attempt = request.header("Attempt-Id");
        return "HTTP/1.1 " + status + " " + reason + "\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: " + id + "." + attempt
            + "." + status + "\r\n";
    }
}
