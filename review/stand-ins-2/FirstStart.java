import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The first start of a system of three control instances and three entry instances, during which one control instance is
 * lost. Arguments: the record, and "wiped" (the first seed comes back after a second with an empty disk) or "down" (the last
 * seed does not come back).
 */
final class FirstStart {
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 3;
    /** The machine is lost while its process is still starting. */
    private static final long LOST_AFTER_MS = 100;
    private static final long DOWN_MS = 1_000;
    /** recover_s is 12; the machine that comes back is back for twice as long by then. */
    private static final double ASKED_UNTIL_S = 25;
    private static final double SERVED_UNTIL_S = 40;

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0]), arguments[1].equals("wiped")));
    }

    private static int run(Path record, boolean isWiped) throws Exception {
        try (Kit kit = new Kit(record, CONTROLS, ENTRIES, 1)) {
            kit.startAll();
            List<Integer> reachable = kit.allControls();
            if (Kit.isTroubled()) {
                int lost = isWiped ? 0 : CONTROLS - 1;
                Thread.sleep(LOST_AFTER_MS);
                kit.killControl(lost);
                kit.loseDisk(lost);
                if (isWiped) {
                    Thread.sleep(DOWN_MS);
                    kit.startControl(lost, false);
                } else {
                    reachable = new ArrayList<>(List.of(0, 1));
                }
            }
            for (int i = 0; i < 3; i++) {
                String zone = kit.zone(i);
                new Replica(kit, "i-desk" + i, "desk", i, zone, 6, (request, out, socket) -> {
                    Replica.write(out, "200 OK", Replica.signed(request), "stock: 4 pallets");
                    return true;
                });
            }
            boolean isAcknowledged = kit.putConfig(Configs.plain(1, "safe", 600, 2), ASKED_UNTIL_S, reachable);
            Thread.sleep(3_000);
            int served = 0;
            int sent = 0;
            Http.Answer last = null;
            while (sent < 30 && kit.seconds() < SERVED_UNTIL_S) {
                Map<String, String> headers = Map.of(
                    "Host", Configs.HOST,
                    "X-Samphirechute-Request-Id", "req" + (++sent),
                    "X-Samphirechute-Deadline-Ms", "601");
                last = Http.call(kit.front(sent % ENTRIES), "GET", "/desk/stock", headers, "", 1_000);
                if (last.status == 200 && last.isWhole) served++;
                kit.note("request req" + sent + " at entry-" + sent % ENTRIES + " -> " + last);
                Thread.sleep(100);
            }
            for (int i : reachable) kit.note("control-" + i + " runs: " + kit.isAlive("control-" + i));
            return kit.verdict(
                served == 0, "configuration acknowledged: " + isAcknowledged + ", requests served: " + served + " of " + sent);
        }
    }
}
