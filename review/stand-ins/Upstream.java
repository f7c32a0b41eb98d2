import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * An upstream of the platform: it announces itself to the control instances, checks for which incarnation a request is
 * meant, and passes each request to a behaviour. Each start is a new incarnation with a new identifier.
 */
final class Upstream implements AutoCloseable {
    /** What an upstream does with a request that it runs. */
    interface Behaviour {
        void run(Upstream upstream, Http.Message request, OutputStream out) throws IOException, InterruptedException;
    }

    final String service;
    final String zone;
    final String address;
    private final List<Fleet.Machine> controls;
    private final int slots;
    private final Behaviour behaviour;
    private final Set<Socket> connections = Collections.newSetFromMap(new ConcurrentHashMap<>());
    private volatile Life life;

    private final class Life {
        final String id = String.format("i-%08x", ThreadLocalRandom.current().nextInt());
        final long bornMs = System.currentTimeMillis();
        final ServerSocket server = new ServerSocket();
        volatile boolean isOver = false;

        Life() throws IOException {
            String[] parts = address.split(":");
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])), 64);
        }
    }

    Upstream(String service, String zone, String ip, List<Fleet.Machine> controls, int slots, Behaviour behaviour)
        throws IOException {
        this.service = service;
        this.zone = zone;
        this.address = ip + ":" + Fleet.freePorts(ip, 1).get(0);
        this.controls = controls;
        this.slots = slots;
        this.behaviour = behaviour;
        start();
    }

    String id() {
        return life.id;
    }

    void start() throws IOException {
        Life next = new Life();
        life = next;
        daemon(() -> accept(next));
        daemon(() -> announce(next));
    }

    /** Ends the process of the upstream: all of its connections end and nothing listens. */
    void crash() {
        life.isOver = true;
        quietly(life.server::close);
        for (Socket socket : connections) quietly(socket::close);
        connections.clear();
    }

    @Override
    public void close() {
        crash();
    }

    private void accept(Life current) {
        while (!current.isOver) {
            try {
                Socket socket = current.server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> serve(current, socket));
            } catch (IOException error) {
                return;
            }
        }
    }

    private void serve(Life current, Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (!current.isOver) {
                Http.Message request = Http.read(in);
                if (request == null) return;
                String expected = request.field("X-Samphirechute-Expect-Instance");
                if (expected != null && !expected.equals(current.id)) {
                    write(out, request, 421, Map.of("X-Samphirechute-Not-Executed", "1"), "");
                } else {
                    behaviour.run(this, request, out);
                }
            }
        } catch (IOException | InterruptedException error) {
            // The other end closed the connection, or this life is over.
        } finally {
            connections.remove(socket);
        }
    }

    /** Writes an answer with a length. */
    static void write(OutputStream out, Http.Message request, int status, Map<String, String> fields, String body)
        throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Answer\r\n");
        String id = request.field("X-Samphirechute-Request-Id");
        if (id != null) head.append("X-Samphirechute-Request-Id: ").append(id).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        out.write(head.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void announce(Life current) {
        for (long sequence = 1; !current.isOver; sequence++) {
            String body =
                "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
                    + "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" + sequence
                    + ",\"born\":" + current.bornMs + "}";
            int first = ThreadLocalRandom.current().nextInt(controls.size());
            for (int turn = 0; turn < controls.size() && !current.isOver; turn++) {
                try {
                    String control = controls.get((first + turn) % controls.size()).address();
                    if (Http.call(control, "PUT", "/v1/instances/" + current.id, body, Map.of(), 1_000).status() / 100 == 2) break;
                } catch (IOException error) {
                    // The next control instance is called.
                }
            }
            quietly(() -> Thread.sleep(Fleet.HEARTBEAT_MS));
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static void quietly(Action action) {
        try {
            action.run();
        } catch (Exception error) {
            // Nothing depends on it.
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
