import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One replica of three turns requests away with 503 and a Retry-After that differs from answer to answer. Checked: at most
 * two requests of a machine reach it between half a second after such an answer to that machine and the end of its time.
 */
final class ShorterRetryAfter {
    /** What run.sh turns into its own status; a Java program that fails by itself ends with 1. */
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    private static final long TROUBLE_MS = 20_000;
    private static final long GRACE_MS = 500;
    private static final int ALLOWED = 2;
    private static final int CLIENTS_PER_ENTRY = 4;
    private static final int[] RETRY_AFTER_S = {1, 2, 3, 4, 5, 6};

    /** A request of a machine that reached the replica, and when it was answered with which Retry-After. */
    record Arrival(String machine, long atMs, long answeredMs, int retryAfterS) {}

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0], "record.txt")); Fleet fleet = new Fleet(3, 3, record)) {
            try {
                status = run(fleet, record, isTroubled);
            } catch (Exception error) {
                record.say("could not run: " + error);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, boolean isTroubled) throws Exception {
        List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        AtomicBoolean isTurningAway = new AtomicBoolean();
        Random jitter = new Random(1);
        List<Upstream> upstreams = new ArrayList<>();
        fleet.start(config());
        for (int i = 0; i < 3; i++) {
            boolean isFirst = i == 0;
            upstreams.add(new Upstream("order-desk", Fleet.ZONES[i], fleet.ip(100 + i), fleet.controls, 6, (upstream, request, out) -> {
                String id = request.field("X-Samphirechute-Request-Id");
                long atMs = Record.nowMs();
                Thread.sleep(40);
                if (!isFirst || !isTurningAway.get()) {
                    Upstream.write(out, request, 200, Map.of("X-Samphirechute-Response-Signature", "s-" + upstream.id()), "stock");
                    return;
                }
                int seconds;
                synchronized (jitter) {
                    seconds = RETRY_AFTER_S[jitter.nextInt(RETRY_AFTER_S.length)];
                }
                Upstream.write(out, request, 503, Map.of("X-Samphirechute-Not-Executed", "1", "Retry-After", "" + seconds), "");
                arrivals.add(new Arrival(id.substring(0, 8), atMs, Record.nowMs(), seconds));
                record.event("request " + id + " arrived " + atMs + ", turned away for " + seconds + " s");
            }));
        }
        Thread.sleep(4_000);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicLong sent = new AtomicLong();
        AtomicLong served = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (Fleet.Machine entry : fleet.entries) {
            for (int i = 0; i < CLIENTS_PER_ENTRY; i++) clients.add(Upstream.daemon(() -> send(entry, record, isOver, sent, served)));
        }
        Thread.sleep(3_000);
        isTurningAway.set(isTroubled);
        Thread.sleep(TROUBLE_MS);
        isOver.set(true);
        for (Thread client : clients) client.join(2_000);
        upstreams.forEach(Upstream::close);
        long most = 0;
        Arrival worst = null;
        for (Arrival said : arrivals) {
            long count =
                arrivals.stream().filter(it -> it.machine().equals(said.machine()) && it.atMs() > said.answeredMs() + GRACE_MS
                    && it.atMs() < said.answeredMs() + 1_000L * said.retryAfterS()).count();
            if (count > most) {
                most = count;
                worst = said;
            }
        }
        record.say("sent " + sent + ", served " + served + "; turned away " + arrivals.size() + "; most requests of one machine within the time of one answer: "
            + most + (worst == null ? "" : " (machine " + worst.machine() + ", told at " + worst.answeredMs() + " ms to stay away for " + worst.retryAfterS() + " s)"));
        return most > ALLOWED ? BROKEN : HELD;
    }

    private static void send(Fleet.Machine entry, Record record, AtomicBoolean isOver, AtomicLong sent, AtomicLong served) {
        while (!isOver.get()) {
            String id = String.format("%08x%08x", entry.ip.hashCode(), sent.incrementAndGet());
            try {
                Map<String, String> fields =
                    Map.of("Host", "shop.example", "X-Samphirechute-Request-Id", id, "X-Samphirechute-Deadline-Ms", "601");
                int status = Http.call(entry.address(), "GET", "/stock/jars", "", fields, 1_000).status();
                record.event("client sent " + id + " to " + entry.ip + " -> " + status);
                if (status == 200) served.incrementAndGet();
            } catch (IOException error) {
                record.event("client sent " + id + " to " + entry.ip + " -> none (" + error.getMessage() + ")");
            }
        }
    }

    private static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"shop.example\",\"path_prefix\":\"/stock/\","
            + "\"kind\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":120,\"priority\":1,\"service\":\"order-desk\","
            + "\"max_attempts\":2,\"public\":true}],\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/health\","
            + "\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"tenants\":[]}";
    }
}
