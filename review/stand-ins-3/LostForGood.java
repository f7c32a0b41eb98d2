import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 15. A fourth core machine has joined three others. One of the three is removed for good without SIGTERM, and shortly
 * after another one is lost for good; an empty machine comes for it at another address. Without the disruption the second loss
 * is left out. Exits with 1 if the acknowledged configuration is not read back.
 */
final class LostForGood {
    private static final long JOINED_MS = 8_000;
    private static final long BETWEEN_MS = Long.parseLong(System.getenv().getOrDefault("BETWEEN_MS", "300"));
    private static final long RECOVER_MS = 12_000;
    private static final long READ_MS = 30_000;

    private LostForGood() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 1)) {
            exit = run(record, fleet, isTrouble) ? 1 : 0;
            record.line(exit == 1 ? "CONFIG is broken" : "CONFIG held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        record.line("configuration 1 is acknowledged");
        Thread.sleep(3_000);
        Fleet.Node successor = fleet.addControl();
        successor.start(false);
        record.line("control-4 starts at a new address with an empty disk, as the successor of a machine that is to be removed");
        Thread.sleep(JOINED_MS);
        fleet.configure(Configs.of(2, Configs.LIMITS, Configs.TENANT), 5_000);
        record.line("configuration 2 is acknowledged");
        Thread.sleep(1_000);

        List<Fleet.Node> alive = new ArrayList<>(fleet.controls());
        List<Fleet.Node> others = new ArrayList<>(alive.subList(0, 3));
        others.remove(leader(alive));
        Fleet.Node removed = others.get(0);
        Fleet.Node lost = others.get(1);
        removed.end();
        alive.remove(removed);
        record.line("control-" + removed.number + " is removed for good without SIGTERM; its successor has run for "
                + (JOINED_MS + 1_000) + " ms");
        if (isTrouble) {
            Thread.sleep(BETWEEN_MS);
            lost.end();
            alive.remove(lost);
            record.line("control-" + lost.number + " is lost for good " + BETWEEN_MS + " ms later");
            Thread.sleep(1_000);
            Fleet.Node empty = fleet.addControl();
            empty.start(false);
            alive.add(empty);
            record.line("control-5 starts at another address with an empty disk in its place");
        }
        Thread.sleep(RECOVER_MS);
        record.line("reads begin, " + RECOVER_MS + " ms after the last machine has started");
        return !isReadBack(record, alive);
    }

    /** Returns whether the acknowledged configuration is read back at some machine. */
    private static boolean isReadBack(Record record, List<Fleet.Node> alive) throws InterruptedException {
        long untilMs = System.currentTimeMillis() + READ_MS;
        while (System.currentTimeMillis() < untilMs) {
            for (Fleet.Node node : alive) {
                String result = read(node);
                record.detail("read at control-" + node.number + ": " + result);
                if (result.equals("200, version 2")) {
                    record.line("control-" + node.number + " answers " + result);
                    return true;
                }
            }
            Thread.sleep(1_000);
        }
        for (Fleet.Node node : alive) record.line("the last read at control-" + node.number + " is answered " + read(node));
        return false;
    }

    private static String read(Fleet.Node node) {
        try {
            Http.Answer answer = Http.call(node.control(), "GET", "/v1/config", new byte[0]);
            boolean isSecond = new String(answer.body(), StandardCharsets.UTF_8).contains("\"version\":2,");
            return answer.status() + (answer.status() == 200 ? (isSecond ? ", version 2" : ", another version") : "");
        } catch (IOException error) {
            return String.valueOf(error.getMessage());
        }
    }

    private static Fleet.Node leader(List<Fleet.Node> nodes) throws IOException {
        Fleet.Node leader = nodes.get(0);
        int newest = -1;
        for (Fleet.Node node : nodes) {
            for (String line : Files.readAllLines(node.log)) {
                int at = line.indexOf("event=leadership_gained term=");
                if (at < 0) continue;
                int term = Integer.parseInt(line.substring(at + "event=leadership_gained term=".length()).split(" ")[0]);
                if (term <= newest) continue;
                newest = term;
                leader = node;
            }
        }
        return leader;
    }
}
