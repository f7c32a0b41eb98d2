import java.nio.file.Path;
import java.util.List;

/**
 * A core machine is replaced: its successor comes first, and has had more than catch_up_s when the machine is removed
 * without SIGTERM. A moment later another one acknowledges a configuration and loses its disk.
 */
final class Removal {
    /** catch_up_s is 4. */
    private static final long CATCH_UP_MS = 8_000;
    /** The next change comes this long after the removal. */
    private static final long CHANGED_AFTER_MS = 300;
    private static final long DOWN_MS = 1_000;
    /** recover_s is 12; the read is repeated for almost three times as long. */
    private static final double READ_S = 35;

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path record) throws Exception {
        try (Kit kit = new Kit(record, 3, 3, 1)) {
            kit.startAll();
            if (!kit.putConfig(Configs.plain(1, "safe", 600, 2), 30, kit.allControls())) return Kit.NOT_RUN;
            kit.awaitReady(30);
            kit.addControl();
            Thread.sleep(CATCH_UP_MS);
            if (!kit.putConfig(Configs.plain(2, "safe", 600, 2), kit.seconds() + 10, List.of(0, 1, 2, 3))) return Kit.NOT_RUN;
            int removed = 2;
            int wiped = 0;
            kit.killControl(removed);
            kit.note("control-" + removed + " is removed for good; its successor is control-3");
            kit.useSeeds(List.of(0, 1, 3));
            List<Integer> left = List.of(0, 1, 3);
            Thread.sleep(CHANGED_AFTER_MS);
            if (!kit.putConfig(Configs.plain(3, "safe", 600, 2), kit.seconds() + 10, List.of(wiped))) return Kit.NOT_RUN;
            if (Kit.isTroubled()) {
                kit.killControl(wiped);
                kit.loseDisk(wiped);
                Thread.sleep(DOWN_MS);
                kit.startControl(wiped, false);
            }
            double backS = kit.seconds();
            int reads = 0;
            Http.Answer last = null;
            boolean isHeld = false;
            while (!isHeld && kit.seconds() < backS + READ_S) {
                int control = left.get(reads++ % left.size());
                last = kit.operate(control, "GET", "/v1/config", "");
                isHeld = last.status == 200 && last.text().contains("\"version\":3");
                if (reads % 20 == 1 || isHeld) kit.note("GET /v1/config at control-" + control + " -> " + last);
                Thread.sleep(150);
            }
            for (int i : left) kit.note("control-" + i + " runs: " + kit.isAlive("control-" + i));
            return kit.verdict(!isHeld, isHeld
                ? "the acknowledged version 3 is read back"
                : "the acknowledged version 3 was not read back in " + reads + " reads; the last answer was " + last);
        }
    }
}
