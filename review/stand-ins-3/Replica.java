import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a service: it announces itself to the control instances and passes each request to a {@link Handler}. */
final class Replica implements AutoCloseable {
    interface Handler {
        /** Answers a request; the connection is closed if it returns false. */
        boolean handle(Request request, Connection connection) throws Exception;
    }

    record Request(String method, String path, Map<String, String> headers, byte[] body, String head) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("X-Samphirechute-Request-Id");
        }
    }

    record Connection(Socket socket, OutputStream out) {
        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Answers with a signature and the whole body. */
        void answer(Request request, int status, String body) throws IOException {
            answer(request, status, "", body);
        }

        void answer(Request request, int status, String fields, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write("HTTP/1.1 " + status + " Status\r\nX-Samphirechute-Request-Id: " + request.id()
                    + "\r\nX-Samphirechute-Response-Signature: sig-" + request.id() + "\r\n" + fields
                    + "Content-Length: " + bytes.length + "\r\n\r\n" + body);
        }

        /** Answers with a whole stream of events. */
        void stream(Request request, int events) throws IOException {
            begin(request);
            for (int i = 1; i <= events; i++) event(i);
            write("0\r\n\r\n");
        }

        void begin(Request request) throws IOException {
            write("HTTP/1.1 200 OK\r\nX-Samphirechute-Request-Id: " + request.id()
                    + "\r\nX-Samphirechute-Response-Signature: sig-" + request.id()
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(int id) throws IOException {
            String event = "id: " + id + "\ndata: text\n\n";
            write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }

        /** Turns a request away that has not run. */
        void turnAway(Request request, int status, String fields) throws IOException {
            write("HTTP/1.1 " + status + " Status\r\nX-Samphirechute-Request-Id: " + request.id()
                    + "\r\nX-Samphirechute-Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n");
        }
    }

    final String id;
    final String address;
    final String service;
    final String zone;
    final int slots;
    final boolean isEngine;
    private final Fleet fleet;
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long bornMs = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    volatile boolean isOpen = true;

    Replica(Fleet fleet, String id, String ip, String service, String zone, int slots, boolean isEngine, Handler handler)
            throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.isEngine = isEngine;
        this.handler = handler;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
        address = ip + ":" + server.getLocalPort();
        daemon(this::accept);
        daemon(this::announce);
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (isOpen) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            if (!isOpen) return;
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            Connection connection = new Connection(socket, socket.getOutputStream());
            while (true) {
                Request request = read(in);
                if (request == null) return;
                if (request.path().equals("/health")) {
                    connection.write("HTTP/1.1 200 OK\r\nX-Samphirechute-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (request.path().equals("/v1/report")) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                } else if (isForOther(request)) {
                    connection.turnAway(request, 421, "");
                } else if (!handler.handle(request, connection)) {
                    return;
                }
            }
        } catch (Exception ended) {
            // The peer has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean isForOther(Request request) {
        String expected = request.header("X-Samphirechute-Expect-Instance");
        return expected != null && !expected.equals(id);
    }

    /** Reads a request; null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int end = 0;
        while (end < 4) {
            int next = in.read();
            if (next < 0) return null;
            head.write(next);
            end = (next == '\r' && (end == 0 || end == 2)) || (next == '\n' && (end == 1 || end == 3)) ? end + 1 : 0;
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String[] lines = text.split("\r\n");
        String[] first = lines[0].split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.merge(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim(),
                        (a, b) -> a + "," + b);
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Request(first[0], first.length > 1 ? first[1] : "", headers, body, text);
    }

    private void announce() {
        int next = Math.abs(id.hashCode());
        while (isOpen) {
            try {
                Fleet.Node node = fleet.controls().get(next % fleet.controls().size());
                if (beat(node)) {
                    Thread.sleep(1_000);
                } else {
                    next++;
                    Thread.sleep(50);
                }
            } catch (IOException refused) {
                next++;
                pause();
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one heartbeat; true if it was acknowledged. */
    private boolean beat(Fleet.Node node) throws IOException, InterruptedException {
        String stage = isEngine ? ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "";
        String body =
                "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\""
                        + ",\"cold_remaining_ms\":0,\"born\":" + bornMs + stage + ",\"sequence\":"
                        + sequence.incrementAndGet() + "}";
        return fleet.call("PUT", node.control() + "/v1/instances/" + id, body) / 100 == 2;
    }

    /** Ends as a process that crashes: all its connections are reset, and nothing listens at its address. */
    void crash() {
        close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // It is closed.
            }
        }
    }

    @Override
    public void close() {
        isOpen = false;
        try {
            server.close();
        } catch (IOException closed) {
            // It is closed.
        }
    }
}
