import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The processes of a small deployment on loopback addresses, each with an address of its own and the same ports. They are
 * started with the commands of deploy/system.toml and ended by {@link #close}.
 */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final int PORTS = 20;
    private static final long LIMIT_MS = 112_000;

    /** Ends a process once this one is gone, even if it was killed. */
    private static final String WATCH =
            "while kill -0 $0 && kill -0 $1; do sleep 0.3; done 2>/dev/null; kill -0 $0 2>/dev/null || kill -9 $1 2>/dev/null";
    final Path folder;
    final String net;
    final int port;
    final List<Node> nodes = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final String cores;
    private int nextControl;

    Fleet(int controls, int entries) throws IOException {
        nextControl = controls + 1;
        folder = Files.createTempDirectory("review-3-");
        net = "127." + ThreadLocalRandom.current().nextInt(20, 120) + "." + ThreadLocalRandom.current().nextInt(1, 250);
        port = freePorts();
        StringBuilder seeds = new StringBuilder();
        for (int i = 1; i <= Math.min(3, controls); i++) {
            seeds.append(i > 1 ? "," : "").append('"').append(net).append('.').append(i).append(':').append(port + 10).append('"');
        }
        cores = seeds.toString();
        for (int i = 1; i <= controls; i++) nodes.add(new Node("control", i, net + "." + i));
        for (int i = 1; i <= entries; i++) nodes.add(new Node("entry", i, net + "." + (100 + i)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Replica.daemon(this::endLate);
    }

    /** Ends a case that would run for longer than it may. */
    private void endLate() {
        try {
            Thread.sleep(LIMIT_MS);
        } catch (InterruptedException ended) {
            return;
        }
        System.err.println("the case took too long");
        System.exit(2);
    }

    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int base = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            boolean isFree = true;
            for (int i = 0; i < PORTS && isFree; i++) {
                try (ServerSocket socket = new ServerSocket(base + i, 1, InetAddress.getByName(net + ".1"))) {
                    isFree = socket.isBound();
                } catch (IOException taken) {
                    isFree = false;
                }
            }
            if (isFree) return base;
        }
        throw new IOException("no free ports");
    }

    List<Node> controls() {
        return nodes.stream().filter(n -> n.role.equals("control")).toList();
    }

    List<Node> entries() {
        return nodes.stream().filter(n -> n.role.equals("entry")).toList();
    }

    void startAll() throws IOException {
        for (Node node : nodes) node.start();
    }

    /** Adds a machine for control at a new address, with an empty disk. */
    Node addControl() {
        Node node = new Node("control", nextControl, net + "." + nextControl);
        nextControl++;
        nodes.add(node);
        return node;
    }

    /** Sends a configuration until a control instance acknowledges it; the platform's operator does the same. */
    void configure(String body, long limitMs) throws Exception {
        long untilMs = System.currentTimeMillis() + limitMs;
        int next = 0;
        while (System.currentTimeMillis() < untilMs) {
            Node node = controls().get(next++ % controls().size());
            try {
                if (call("PUT", node.control() + "/v1/config", body) == 200) return;
            } catch (IOException refused) {
                Thread.sleep(50);
            }
            Thread.sleep(100);
        }
        throw new IOException("no configuration was acknowledged");
    }

    int call(String method, String url, String body) throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request =
                HttpRequest.newBuilder(java.net.URI.create("http://" + url))
                        .timeout(Duration.ofSeconds(1))
                        .header("Content-Type", "application/json")
                        .method(method, publisher)
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    void awaitReady(long limitMs) throws Exception {
        long untilMs = System.currentTimeMillis() + limitMs;
        for (Node node : entries()) {
            while (true) {
                try {
                    if (call("GET", node.ready() + "/v1/ready", null) == 200) break;
                } catch (IOException notYet) {
                    Thread.sleep(20);
                }
                if (System.currentTimeMillis() > untilMs) throw new IOException("entry " + node.ip + " is not ready");
                Thread.sleep(50);
            }
        }
    }

    @Override
    public void close() {
        for (Node node : nodes) node.end();
        for (Node node : nodes) node.awaitEnd();
        try (var paths = Files.walk(folder)) {
            if (System.getenv("KEEP") != null) return;
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException | UncheckedIOException gone) {
            // Nothing is left to remove.
        }
    }

    /** A machine with one process of a role. */
    final class Node {
        final String role;
        final int number;
        final String ip;
        final Path log;
        private Process process;

        Node(String role, int number, String ip) {
            this.role = role;
            this.number = number;
            this.ip = ip;
            log = folder.resolve(role + "-" + number + ".log");
        }

        String control() {
            return ip + ":" + (port + 10);
        }

        String front() {
            return ip + ":" + (port + 11);
        }

        String ready() {
            return ip + ":" + (port + 12);
        }

        String zone() {
            return ZONES[(number - 1) % ZONES.length];
        }

        void start() throws IOException {
            start(true);
        }

        /** Starts the process; {@code isFirst} is false for any start but the first one of the whole system. */
        void start(boolean isFirst) throws IOException {
            Path file = folder.resolve(role + "-" + number + ".json");
            Path data = folder.resolve("data-" + number);
            boolean hasDisk = role.equals("control");
            if (hasDisk) Files.createDirectories(data);
            String listen =
                    hasDisk
                            ? "\"control\": \"" + control() + "\""
                            : "\"front\": \"" + front() + "\", \"ready\": \"" + ready() + "\"";
            Files.writeString(
                    file,
                    String.format(
                            Locale.ROOT,
                            "{\"node_name\": \"%s-%d\", \"role\": \"%s\", \"machine_class\": \"%s\", \"serves\": [\"%s\"], "
                                    + "\"ip\": \"%s\", \"zone\": \"%s\", \"region\": \"region\", \"internal_ports\": [%d, %d], "
                                    + "\"listen\": {%s}, \"seeds\": [%s], \"bootstrap\": %s, \"in_tolerance\": %s, "
                                    + "\"data_dir\": %s, \"heartbeat_interval_ms\": 1200, "
                                    + "\"fault_tolerance\": {\"machines\": 1, \"zones\": 1, \"regions\": 0}, "
                                    + "\"bounds\": {\"budget_slack\": 219, \"grace_s\": 8}}",
                            role, number, role, hasDisk ? "core" : "front", hasDisk ? "control" : "front", ip, zone(),
                            port, port + 9, listen, cores, isFirst, hasDisk,
                            hasDisk ? "\"" + data + "\"" : "null"));
            ProcessBuilder builder = new ProcessBuilder(command(role));
            builder.environment().put("SAMPHIRECHUTE_BOOT", file.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            new ProcessBuilder("bash", "-c", WATCH, Long.toString(ProcessHandle.current().pid()), Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
        }


        void end() {
            if (process != null) process.destroyForcibly();
        }

        void awaitEnd() {
            try {
                if (process != null) process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static List<String> command(String role) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.length() - 1).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no command for " + role);
    }
}
