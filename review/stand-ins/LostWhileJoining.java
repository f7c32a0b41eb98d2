import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/**
 * A core machine loses its disk, and loses it once more while it starts again. Long after it is back, another core
 * machine loses its disk. Checked: the acknowledged configuration can be read back.
 */
final class LostWhileJoining {
    /** What run.sh turns into its own status; a Java program that fails by itself ends with 1. */
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;
    private static final long STARTED_LIMIT_MS = 10_000;

    /** Hundreds of changes, and as many routes as big_config adds on a small deployment. */
    private static final int CHANGES = 300;
    private static final int ROUTES = 350;

    /** From the moment at which the leader takes the machine in to the second loss of power. */
    private static final long JOINING_MS = 60;
    private static final long DOWN_MS = 1_000;

    /** Longer than catch_up_s (4 s), after which a machine that is back no longer counts as lost. */
    private static final long BACK_MS = 15_000;

    /** recover_s (12 s), and then the reads of the end of a day, for longer than stability_window_ms (3 s). */
    private static final long RECOVER_MS = 12_000;
    private static final long READS_MS = 10_000;

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
        for (int version = 2; version <= CHANGES; version++) {
            if (!operator.order(fleet.controls.get(version % 3), "PUT", "/v1/config", config(version), 4_000)) {
                record.say("version " + version + " was not acknowledged");
                return COULD_NOT_RUN;
            }
        }
        String newest = config(CHANGES);
        Fleet.Machine leader = fleet.leader();
        List<Fleet.Machine> followers = fleet.controls.stream().filter(it -> it != leader).toList();
        Fleet.Machine first = followers.get(0);
        Fleet.Machine second = followers.get(1);
        record.event("leader " + leader.ip + ", loses its disk first " + first.ip + ", later " + second.ip);
        if (!trouble.equals("0")) {
            loseDisk(first);
            Thread.sleep(DOWN_MS);
            long joinsBefore = count(leader, "event=member_joining");
            start(first);
            if (!trouble.equals("once")) {
                await(leader, "event=member_joining", joinsBefore);
                Thread.sleep(JOINING_MS);
                loseDisk(first);
                Thread.sleep(DOWN_MS);
                start(first);
            }
            Thread.sleep(BACK_MS);
            loseDisk(second);
            Thread.sleep(DOWN_MS);
            start(second);
        }
        Thread.sleep(RECOVER_MS);
        int reads = 0;
        int whole = 0;
        for (long untilMs = Record.nowMs() + READS_MS; Record.nowMs() < untilMs; Thread.sleep(250)) {
            Http.Message answer = operator.call(fleet.controls.get(reads++ % 3), "GET", "/v1/config", "");
            if (answer != null && answer.status() == 200 && answer.body().equals(newest)) whole++;
        }
        boolean isAcknowledged = operator.order(leader, "PUT", "/v1/config", config(CHANGES + 1), 4_000);
        for (Fleet.Machine control : fleet.controls) {
            control.log().stream().filter(it -> it.contains("event=member") || it.contains("event=leadership") || it.contains("event=store_started"))
                .forEach(it -> record.event("log of " + control.ip + ": " + it));
        }
        record.say(whole + " of " + reads + " reads gave the acknowledged version " + CHANGES + "; the next version acknowledged: " + isAcknowledged);
        return whole > 0 ? HELD : BROKEN;
    }

    private static void loseDisk(Fleet.Machine machine) throws Exception {
        machine.kill();
        machine.wipe();
    }

    /** Starts a machine with an empty disk and waits until its store runs. */
    private static void start(Fleet.Machine machine) throws Exception {
        long before = count(machine, "event=store_started");
        machine.start(false);
        await(machine, "event=store_started", before);
    }

    /** Waits until the log of a machine has more lines with the text than before. */
    private static void await(Fleet.Machine machine, String text, long before) throws Exception {
        for (long untilMs = Record.nowMs() + STARTED_LIMIT_MS; count(machine, text) == before; Thread.sleep(5)) {
            if (Record.nowMs() > untilMs) throw new IllegalStateException("no line '" + text + "' in the log of " + machine.ip);
        }
    }

    private static long count(Fleet.Machine machine, String text) throws Exception {
        return machine.log().stream().filter(it -> it.contains(text)).count();
    }

    /** A configuration whose routes have names of their own in each version. */
    private static String config(int version) {
        StringBuilder routes = new StringBuilder();
        Random names = new Random(version);
        for (int i = 0; i < ROUTES; i++) {
            String name = Long.toString(names.nextLong() & Long.MAX_VALUE, 36);
            routes.append(i == 0 ? "" : ",").append("{\"name\":\"r-").append(name).append("\",\"host\":\"").append(name)
                .append(".example\",\"path_prefix\":\"/stock/\",\"kind\":\"safe\",\"timeout_ms\":600,")
                .append("\"target_latency_ms\":120,\"priority\":1,\"service\":\"order-desk\",\"max_attempts\":2,\"public\":true}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"order-desk\","
            + "\"health_path\":\"/health\",\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
            + "\"cold_per_s\":0.0}],\"tenants\":[]}";
    }
}
