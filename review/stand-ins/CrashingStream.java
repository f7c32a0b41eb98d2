import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A request of a streaming route crashes each engine that begins to run it, and comes again. The engines send the head of a
 * stream with its first event. Checked: BUDGET allows three retries that are sent later than stability_window_ms after the
 * third crash.
 */
final class CrashingStream {
    /** What run.sh turns into its own status; a Java program that fails by itself ends with 1. */
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    private static final long STABILITY_MS = 3_000;

    /** Longer than a request takes from an entry instance to an engine, since the rule goes by when it was sent. */
    private static final long TRAVEL_MS = 500;
    private static final long DOWN_MS = 3_000;
    private static final long REPEAT_MS = 1_000;
    private static final int REPEATS = 30;
    private static final int ALLOWED_RETRIES = 3;
    private static final int EVENTS = 8;

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        boolean hasEarlyHead = "1".equals(System.getenv("EARLY_HEAD"));
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0], "record.txt")); Fleet fleet = new Fleet(3, 3, record)) {
            try {
                status = run(fleet, record, isTroubled, hasEarlyHead);
            } catch (Exception error) {
                record.say("could not run: " + error);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, boolean isTroubled, boolean hasEarlyHead) throws Exception {
        List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
        List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Upstream> engines = new ArrayList<>();
        fleet.start(config());
        for (int i = 0; i < 9; i++) {
            engines.add(
                new Upstream("draft-model", Fleet.ZONES[i % 3], fleet.ip(100 + i), fleet.controls, 11, (engine, request, out) -> {
                    if (!request.body().contains("deadly")) {
                        record.event("sound request " + request.field("X-Samphirechute-Request-Id") + " runs on " + engine.id());
                        stream(engine, request, out, 0);
                        return;
                    }
                    arrivals.add(Record.nowMs());
                    record.event("deadly request " + request.field("X-Samphirechute-Request-Id") + " reached " + engine.id());
                    if (hasEarlyHead) stream(engine, request, out, EVENTS);
                    Thread.sleep(30);
                    crashes.add(Record.nowMs());
                    record.event("crashed " + engine.id());
                    engine.crash();
                    Upstream.daemon(() -> Upstream.quietly(() -> {
                        Thread.sleep(DOWN_MS);
                        engine.start();
                        record.event("back as " + engine.id());
                    }));
                }));
        }
        Thread.sleep(5_000);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicLong number = new AtomicLong();
        AtomicLong sound = new AtomicLong();
        AtomicLong whole = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (Fleet.Machine entry : fleet.entries) {
            clients.add(Upstream.daemon(() -> {
                while (!isOver.get()) {
                    sound.incrementAndGet();
                    long own = number.incrementAndGet();
                    Http.Message answer = send(entry, number.incrementAndGet(), "draft " + own, String.format("5c1e07a2:40,%08x:400", own));
                    record.event("client got " + (answer == null ? "no whole answer" : answer.start()) + " to sound request " + own);
                    if (answer != null && answer.status() == 200 && answer.body().contains("id: " + EVENTS + "\n")) whole.incrementAndGet();
                    Upstream.quietly(() -> Thread.sleep(100));
                }
            }));
        }
        Thread.sleep(3_000);
        for (int i = 0; i < REPEATS; i++) {
            Fleet.Machine entry = fleet.entries.get(i % fleet.entries.size());
            String body = isTroubled ? "deadly draft" : "plain draft";
            Http.Message answer = send(entry, number.incrementAndGet(), body, "5c1e07a2:40,e4402b7d:400");
            record.event("client got " + (answer == null ? "no whole answer" : answer.start()) + " to repeat " + i);
            Thread.sleep(REPEAT_MS);
        }
        isOver.set(true);
        for (Thread client : clients) client.join(2_000);
        engines.forEach(Upstream::close);
        long late = 0;
        if (crashes.size() >= 3) late = arrivals.stream().filter(it -> it > crashes.get(2) + STABILITY_MS + TRAVEL_MS).count();
        record.say("the request came " + REPEATS + " times and crashed " + crashes.size() + " engines; " + late + " times it reached one later than "
            + STABILITY_MS + " ms after the third crash; " + whole + " of " + sound + " sound requests were served");
        return late > ALLOWED_RETRIES ? BROKEN : HELD;
    }

    /** Answers a stream; without events only its head is sent. */
    private static void stream(Upstream engine, Http.Message request, OutputStream out, int from) throws IOException, InterruptedException {
        String last = request.field("Last-Event-Id");
        int first = Math.max(from, last == null ? 0 : Integer.parseInt(last));
        if (from == 0) Thread.sleep(30);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Samphirechute-Request-Id: "
            + request.field("X-Samphirechute-Request-Id") + "\r\nX-Samphirechute-Response-Signature: s-" + engine.id()
            + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        if (from > 0) {
            out.flush();
            return;
        }
        for (int i = first + 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: word\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(30);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static Http.Message send(Fleet.Machine entry, long number, String body, String prefix) {
        try {
            return Http.call(entry.address(), "POST", "/drafts/one", body, Map.of("Host", "shop.example",
                "X-Samphirechute-Request-Id", String.format("%016x", number), "X-Samphirechute-Deadline-Ms", "10000",
                "X-Samphirechute-Model", "m", "X-Samphirechute-Token-Usage", "440,400", "X-Samphirechute-Prompt-Prefix", prefix,
                "X-Samphirechute-Credential", "n2ctnfzs989anu6wsjnb"), 11_000);
        } catch (IOException error) {
            return null;
        }
    }

    private static String config() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"shop.example\",\"path_prefix\":\"/drafts/\","
            + "\"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,\"service\":\"draft-model\","
            + "\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":200}],"
            + "\"services\":[{\"name\":\"draft-model\",\"health_path\":\"/health\",\"max_connections\":480,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":28.0,\"engine\":{\"slots\":11,\"kv_capacity\":450000,"
            + "\"kv_bytes\":327680,\"link_mbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,"
            + "\"per_seq_ms\":0.007,\"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
            + "\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"usual\":{\"prompt\":13229,\"answer\":1541},"
            + "\"hop_ms\":0.1}}],\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}";
    }
}
