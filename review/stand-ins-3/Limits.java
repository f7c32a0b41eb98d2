import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 15. A configuration raises max_header_bytes to 32,768, and clients send heads of about 21,000 bytes. Without the
 * disruption the limit stays at 16,384, and the heads have about 12,000 bytes. Exits with 1 if more than 5 and one in 500 of
 * the requests are ended with a 4xx of the system.
 */
final class Limits {
    private static final int REQUESTS = 120;

    private Limits() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 3)) {
            exit = run(record, fleet, isTrouble) ? 1 : 0;
            record.line(exit == 1 ? "DENIED is broken" : "DENIED held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        record.line("configuration 1 with max_header_bytes 16384 is acknowledged");
        for (int i = 0; i < 3; i++) {
            new Replica(fleet, "engine-" + i, fleet.net + "." + (200 + i), "engine", Fleet.ZONES[i], 11, true, (request, out) -> {
                runs.incrementAndGet();
                out.stream(request, 3);
                return true;
            });
        }
        fleet.awaitReady(20_000);
        Thread.sleep(3_000);
        String limits = Configs.LIMITS.replace("16384", isTrouble ? "32768" : "16384");
        fleet.configure(Configs.of(2, limits, Configs.TENANT), 5_000);
        record.line("configuration 2 with " + limits + " is acknowledged");
        // config_apply_ms is 2,000.
        Thread.sleep(3_000);
        int denied = 0;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int parts = isTrouble ? 1_900 : 1_100;
            String head = Client.head("POST", "/stream/a", String.format(Locale.ROOT, "%016x", i), 10_000,
                    "X-Samphirechute-Model: m\r\nX-Samphirechute-Token-Usage: " + parts * 8 + ",80\r\n" + prefix(i, parts), 4);
            try (Client client = new Client(fleet.entries().get(i % 3).front(), 12_000)) {
                client.write(head + "body");
                Client.Answer answer = client.read();
                boolean isOwn = answer.header("X-Samphirechute-Response-Signature") == null;
                if (answer.status() == 200) served++;
                if (isOwn && answer.status() / 100 == 4 && answer.status() != 408 && answer.status() != 421 && answer.status() != 429) {
                    denied++;
                }
                String line = "request " + i + " with a head of " + head.length() + " bytes is answered "
                        + answer.status() + (isOwn ? " by the system: " + answer.text() : " by a replica");
                if (i < 3) record.line(line); else record.detail(line);
            }
        }
        record.line("of " + REQUESTS + " requests " + served + " were served, " + denied
                + " were ended with a 4xx of the system; replicas ran " + runs);
        int allowed = 5 + REQUESTS / 500;
        if (!isTrouble && served < REQUESTS / 2) throw new IllegalStateException("requests are not served");
        return denied > allowed;
    }

    /** The parts of a long session: the first ones are shared, the last is that of the request. */
    private static String prefix(int request, int parts) {
        StringBuilder text = new StringBuilder("X-Samphirechute-Prompt-Prefix: ");
        for (int i = 0; i < parts - 1; i++) text.append(String.format(Locale.ROOT, "%08x:8,", 0x5c1e0000 + i));
        return text.append(String.format(Locale.ROOT, "%08x:8\r\n", 0x7b000000 + request)).toString();
    }
}
