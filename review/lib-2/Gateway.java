import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;

/** One process of the role "gateway" on a loopback address. */
final class Gateway {
    final int callers;
    final int readiness;
    final Program program;

    Gateway(Path repository, Path folder, String name, String zone, int storePort) throws IOException {
        callers = Http.freePort();
        readiness = Http.freePort();
        int internal = Http.freePort();
        program = new Program(repository, folder, "gateway", name, Map.of(
            "ip", Program.text("127.0.0.1"), "zone", Program.text(zone),
            "listen.front", Program.text("127.0.0.1:" + callers),
            "listen.readiness", Program.text("127.0.0.1:" + readiness),
            "internalPorts", "[" + internal + "," + (internal + 1) + "]",
            "provider.address", Program.text("127.0.0.1:" + storePort)));
    }

    boolean alive() {
        return program.alive();
    }

    boolean ready() {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", readiness), 500);
            s.setSoTimeout(1000);
            s.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message m = Http.readHead(new BufferedInputStream(s.getInputStream()));
            return m != null && m.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the gateway is ready; returns false after 20 seconds. */
    boolean awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < end && alive()) {
            if (ready()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    void kill() {
        program.kill();
    }
}
