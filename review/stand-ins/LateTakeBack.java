import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A core machine is frozen for some seconds while the operator takes an evacuation back and orders it again. Checked: no
 * request reaches the zone from evacuate_ms + outer_ms after the second order was acknowledged, since it is never taken back.
 */
final class LateTakeBack {
    /** What run.sh turns into its own status; a Java program that fails by itself ends with 1. */
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    private static final long EVACUATE_MS = 5_000;
    private static final long STABILITY_MS = 3_000;

    /** By how much an unstable core stretches the bound at most (RULES.md, Outer). */
    private static final long OUTER_MS = 5_000;
    private static final long FROZEN_MS = 5_000;
    private static final long WATCHED_MS = 10_000;

    /** A request that reached a replica. */
    record Arrival(long atMs, String zone) {}

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
        Operator operator = new Operator(fleet, record);
        List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Upstream> upstreams = new ArrayList<>();
        fleet.start(config());
        for (int i = 0; i < 6; i++) upstreams.add(upstream(fleet, Fleet.ZONES[i % 3], fleet.ip(100 + i), record, arrivals));
        Thread.sleep(4_000);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicLong sent = new AtomicLong();
        AtomicLong served = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (Fleet.Machine entry : fleet.entries) clients.add(Upstream.daemon(() -> send(entry, record, isOver, sent, served)));

        Fleet.Machine leader = fleet.leader();
        Fleet.Machine frozen = fleet.controls.stream().filter(it -> it != leader).findFirst().orElseThrow();
        Fleet.Machine other = fleet.controls.stream().filter(it -> it != leader && it != frozen).findFirst().orElseThrow();
        String zone = frozen.zone;
        record.event("leader " + leader.ip + ", frozen later " + frozen.ip + ", evacuated zone " + zone);
        Thread.sleep(2_000);
        require(operator.order(leader, "POST", "/v1/evacuations/" + zone, "", 4_000), "the first evacuation");
        Thread.sleep(4_000);
        if (isTroubled) frozen.signal("STOP");
        long stoppedMs = Record.nowMs();
        require(operator.order(frozen, "DELETE", "/v1/evacuations/" + zone, "", 4_000), "the taking back");
        Thread.sleep(1_500);
        require(operator.order(other, "POST", "/v1/evacuations/" + zone, "", 4_000), "the second evacuation");
        long acknowledgedMs = Record.nowMs();
        Thread.sleep(Math.max(0, stoppedMs + FROZEN_MS - Record.nowMs()));
        if (isTroubled) frozen.signal("CONT");
        long calmMs = Record.nowMs() + STABILITY_MS;
        long fromMs = Math.max(calmMs, acknowledgedMs + EVACUATE_MS + OUTER_MS);
        Thread.sleep(fromMs + WATCHED_MS - Record.nowMs());
        isOver.set(true);
        for (Thread client : clients) client.join(2_000);
        upstreams.forEach(Upstream::close);
        long before = arrivals.stream().filter(it -> it.zone().equals(zone) && it.atMs() < fromMs && it.atMs() > calmMs).count();
        long late = arrivals.stream().filter(it -> it.zone().equals(zone) && it.atMs() >= fromMs).count();
        long all = arrivals.stream().filter(it -> it.atMs() >= fromMs).count();
        record.say("sent " + sent + ", served " + served + "; second evacuation of " + zone + " acknowledged at " + acknowledgedMs
            + " ms and never taken back; from " + fromMs + " ms on " + late + " of " + all + " requests reached the zone (" + before + " shortly before)");
        return late > 0 ? BROKEN : HELD;
    }

    private static void require(boolean isDone, String what) throws IOException {
        if (!isDone) throw new IOException(what + " was not acknowledged");
    }

    private static Upstream upstream(Fleet fleet, String zone, String ip, Record record, List<Arrival> arrivals) throws IOException {
        return new Upstream("order-desk", zone, ip, fleet.controls, 6, (upstream, request, out) -> {
            long atMs = Record.nowMs();
            arrivals.add(new Arrival(atMs, zone));
            record.event("request " + request.field("X-Samphirechute-Request-Id") + " reached " + upstream.id() + " in " + zone);
            Thread.sleep(10);
            Upstream.write(out, request, 200, Map.of("X-Samphirechute-Response-Signature", "s-" + upstream.id()), "stock");
        });
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
                Thread.sleep(50);
            } catch (IOException error) {
                record.event("client sent " + id + " to " + entry.ip + " -> none (" + error.getMessage() + ")");
            } catch (InterruptedException error) {
                return;
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
