import java.nio.file.Path;
import java.util.List;

/**
 * The first start of a system of five control instances that has to bear the loss of two disks. Two that are no seeds lose
 * power while they start; the first configuration is acknowledged; then two seeds lose their disks, and all come back.
 */
final class FewVoters {
    private static final int CONTROLS = 5;
    private static final int LOST_DISKS = 2;
    private static final long LOST_AFTER_MS = 100;
    private static final long DOWN_MS = 1_500;
    private static final double ACKNOWLEDGED_BY_S = 30;
    /** recover_s is 15 for this site; the read is repeated for twice as long. */
    private static final double READ_S = 35;

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path record) throws Exception {
        try (Kit kit = new Kit(record, CONTROLS, 3, LOST_DISKS)) {
            kit.startAll();
            boolean isTroubled = Kit.isTroubled();
            if (isTroubled) {
                Thread.sleep(LOST_AFTER_MS);
                kit.killControl(3);
                kit.killControl(4);
            }
            List<Integer> reachable = isTroubled ? List.of(0, 1, 2) : kit.allControls();
            if (!kit.putConfig(Configs.plain(7, "safe", 600, 2), ACKNOWLEDGED_BY_S, reachable)) {
                kit.note("no configuration was acknowledged, so none can be lost");
                return isTroubled ? kit.verdict(false, "nothing was acknowledged") : Kit.NOT_RUN;
            }
            if (isTroubled) {
                for (int i = 0; i < LOST_DISKS; i++) kit.killControl(i);
                for (int i = 0; i < LOST_DISKS; i++) kit.loseDisk(i);
                Thread.sleep(DOWN_MS);
                for (int i = 0; i < LOST_DISKS; i++) kit.startControl(i, false);
                kit.startControl(3, false);
                kit.startControl(4, false);
            }
            double backS = kit.seconds();
            int reads = 0;
            Http.Answer last = null;
            while (kit.seconds() < backS + READ_S) {
                int control = reads++ % CONTROLS;
                last = kit.operate(control, "GET", "/v1/config", "");
                if (reads % 20 == 1 || last.status == 200) kit.note("GET /v1/config at control-" + control + " -> " + last);
                if (last.status == 200) break;
                Thread.sleep(150);
            }
            boolean isHeld = last.status == 200 && last.text().contains("\"version\":7");
            for (int i = 0; i < CONTROLS; i++) kit.note("control-" + i + " runs: " + kit.isAlive("control-" + i));
            return kit.verdict(!isHeld, isHeld
                ? "the acknowledged version 7 is read back"
                : "the acknowledged version 7 was not read back in " + reads + " reads; the last answer was " + last);
        }
    }
}
