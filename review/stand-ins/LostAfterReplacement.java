import java.nio.file.Path;
import java.util.List;

/**
 * A core machine is replaced as planned: its successor runs for longer than catch_up_s before the old machine is stopped
 * for good. Right after that another core machine loses its disk. Checked: the acknowledged configuration can be read back.
 */
final class LostAfterReplacement {
    /** What run.sh turns into its own status; a Java program that fails by itself ends with 1. */
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    /** Longer than catch_up_s (4 s), after which the machine that is removed no longer counts. */
    private static final long SUCCESSOR_MS = 10_000;

    /** From the end of the old machine to the loss of the disk of another one. */
    private static final long PAUSE_MS = 1_000;
    private static final long DOWN_MS = 1_000;

    /** recover_s (12 s), and then the reads of the end of a day, for longer than stability_window_ms (3 s). */
    private static final long RECOVER_MS = 15_000;
    private static final long READS_MS = 15_000;

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0], "record.txt")); Fleet fleet = new Fleet(3, 2, record)) {
            try {
                status = run(fleet, record, trouble);
            } catch (Exception error) {
                record.say("could not run: " + error);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, String trouble) throws Exception {
        Operator operator = new Operator(fleet, record);
        fleet.start(config(1));
        Thread.sleep(4_000);
        Fleet.Machine successor = fleet.addControl();
        successor.start(false);
        Thread.sleep(SUCCESSOR_MS / 2);
        if (!operator.order(fleet.controls.get(0), "PUT", "/v1/config", config(2), 4_000)) {
            record.say("version 2 was not acknowledged");
            return COULD_NOT_RUN;
        }
        Thread.sleep(SUCCESSOR_MS / 2);
        Fleet.Machine leader = fleet.leader();
        List<Fleet.Machine> others = fleet.controls.stream().filter(it -> it != leader && it != successor).toList();
        Fleet.Machine removed = others.get(0);
        Fleet.Machine lost = others.get(1);
        record.event("leader " + leader.ip + ", removed " + removed.ip + ", successor " + successor.ip + ", loses its disk " + lost.ip);
        removed.signal("TERM");
        removed.process.waitFor();
        record.event("ended " + removed.ip + " with status " + removed.process.exitValue());
        fleet.controls.remove(removed);
        if (!trouble.equals("0")) {
            Thread.sleep(trouble.equals("later") ? 5_000 : PAUSE_MS);
            lost.kill();
            lost.wipe();
            Thread.sleep(DOWN_MS);
            lost.start(false);
        }
        Thread.sleep(RECOVER_MS);
        int reads = 0;
        int whole = 0;
        for (long untilMs = Record.nowMs() + READS_MS; Record.nowMs() < untilMs; Thread.sleep(250)) {
            Http.Message answer = operator.call(fleet.controls.get(reads++ % 3), "GET", "/v1/config", "");
            if (answer != null && answer.status() == 200 && answer.body().equals(config(2))) whole++;
        }
        boolean isAcknowledged = operator.order(leader, "PUT", "/v1/config", config(3), 4_000);
        for (Fleet.Machine control : fleet.controls) {
            control.log().stream().filter(it -> it.contains("event=member") || it.contains("event=leadership") || it.contains("event=store_started"))
                .forEach(it -> record.event("log of " + control.ip + ": " + it));
        }
        record.say(whole + " of " + reads + " reads gave the acknowledged version 2; the next version acknowledged: " + isAcknowledged);
        return whole > 0 ? HELD : BROKEN;
    }

    private static String config(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"shop.example\",\"path_prefix\":\"/stock/\","
            + "\"kind\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":120,\"priority\":1,\"service\":\"order-desk\","
            + "\"max_attempts\":2,\"public\":true}],\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/health\","
            + "\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"tenants\":[]}";
    }
}
