import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A replica of a service: it announces itself at the control instances and passes each request to its handler. It answers
 * health checks itself, and 421 to a request that expects another instance.
 */
final class Replica {
    /** Answers one request; returns false if the connection is to be closed. */
    interface Handler {
        boolean handle(Http.Request request, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    private final Kit kit;
    private final String service;
    private final String ip;
    private final int port;
    private final String zone;
    private final int slots;
    private final Handler handler;
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean isEnded;
    private int sequence;

    Replica(Kit kit, String id, String service, int place, String zone, int slots, Handler handler) throws IOException {
        this.kit = kit;
        this.id = id;
        this.service = service;
        this.ip = kit.otherIp(place);
        this.port = kit.port(0);
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        daemon(() -> accept(listener));
        daemon(this::announce);
    }

    private void accept(ServerSocket listener) {
        while (!isEnded) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException problem) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean isOpen = true;
            while (isOpen) {
                Http.Request request = Http.readRequest(in);
                if (request == null) return;
                String expected = request.header("X-Samphirechute-Expect-Instance");
                if (request.uri.equals("/health")) {
                    write(out, "200 OK", Map.of("X-Samphirechute-Instance-Id", id), "");
                } else if (!expected.isEmpty() && !expected.equals(id)) {
                    write(out, "421 Misdirected Request", Map.of("X-Samphirechute-Instance-Id", id), "");
                } else {
                    isOpen = handler.handle(request, out, socket);
                }
            }
        } catch (Exception ignored) {
            // The caller has closed the connection.
        }
    }

    private void announce() {
        int next = Math.abs(id.hashCode()) % kit.controls();
        while (!isEnded) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
                + (++sequence) + ",\"born\":" + bornMs + "}";
            boolean isTaken = false;
            for (int attempt = 0; attempt < kit.controls() && !isTaken; attempt++) {
                Map<String, String> headers = Map.of("Content-Type", "application/json");
                isTaken = Http.call(kit.control(next), "PUT", "/v1/instances/" + id, headers, body, 1_000).status == 200;
                if (!isTaken) next = (next + 1) % kit.controls();
            }
            sleep(isTaken ? 1_200 : 300);
        }
    }

    /** The headers of an answer of this replica to [request]. */
    static Map<String, String> signed(Http.Request request) {
        return Map.of(
            "X-Samphirechute-Request-Id", request.header("X-Samphirechute-Request-Id"),
            "X-Samphirechute-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
    }

    static void write(OutputStream out, String status, Map<String, String> headers, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + content.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(content, 0, all, start.length, content.length);
        out.write(all);
        out.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }
}
