import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 14. Prompts of long sessions have 300 parts. One part, the 280th, crashes each engine that begins to write an answer on
 * it; POSITION names another place. Without the disruption it crashes none. Exits with 1 if more than three requests with the
 * part reach engines later than 3 s after the fifth crash.
 */
final class LatePart {
    private static final int ENGINES = 12;
    private static final int PARTS = Integer.parseInt(System.getenv().getOrDefault("PARTS", "300"));
    private static final String PART = "bad0bad0";
    private static final long RUN_MS = 45_000;
    private static final long CALM_MS = 8_000;
    private static final long STABILITY_WINDOW_MS = 3_000;
    private static final long BACK_AFTER_MS = 3_000;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final int position = Integer.parseInt(System.getenv().getOrDefault("POSITION", "280"));
    private final Record record;
    private final Fleet fleet;
    private final List<Long> crashesMs = new ArrayList<>();
    private final List<Long> arrivalsMs = new ArrayList<>();
    /** When each sound request was sent, and which of them engines began. */
    private final Map<String, Long> soundMs = new ConcurrentHashMap<>();
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
    private final AtomicInteger lives = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private LatePart(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 3)) {
            exit = new LatePart(record, fleet).run() ? 1 : 0;
            record.line(exit == 1 ? "BUDGET is broken" : "BUDGET held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private boolean run() throws Exception {
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        for (int i = 0; i < ENGINES; i++) startEngine(i);
        fleet.awaitReady(20_000);
        Thread.sleep(4_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        long startMs = System.currentTimeMillis();
        int sent = 0;
        int next = 0;
        while (System.currentTimeMillis() - startMs < RUN_MS) {
            int number = next++;
            boolean hasPart = number % 8 == 7 && System.currentTimeMillis() - startMs > CALM_MS;
            if (hasPart) sent++;
            clients.submit(() -> send(number, hasPart));
            Thread.sleep(125);
        }
        clients.shutdown();
        clients.awaitTermination(12, TimeUnit.SECONDS);
        record.line(sent + " requests with the part were sent; of " + (next - sent) + " others " + served
                + " were answered and " + failed + " were not");
        synchronized (this) {
            record.line("engines crashed " + crashesMs.size() + " times, " + arrivalsMs.size() + " requests with the part reached engines");
            if (!isTrouble) {
                if (served.get() < (next - sent) / 2) throw new IllegalStateException("requests are not served");
                return false;
            }
            record.line("the others were not answered with " + new TreeMap<>(refusals));
            if (crashesMs.isEmpty()) return false;
            share("before the first crash", 0, crashesMs.get(0));
            long lastMs = crashesMs.get(Math.min(4, crashesMs.size() - 1));
            share("from 6 s after the fifth crash, or the last of fewer", lastMs + 2 * STABILITY_WINDOW_MS, startMs + RUN_MS);
            if (crashesMs.size() < 5) return false;
            long fromMs = crashesMs.get(4) + STABILITY_WINDOW_MS;
            long late = arrivalsMs.stream().filter(at -> at > fromMs).count();
            record.line("later than 3 s after the fifth crash " + late + " requests with the part reached engines; 3 are allowed");
            return late > 3;
        }
    }

    private void share(String when, long fromMs, long untilMs) {
        List<String> sent = soundMs.entrySet().stream().filter(e -> e.getValue() >= fromMs && e.getValue() < untilMs).map(Map.Entry::getKey).toList();
        long started = sent.stream().filter(begun::contains).count();
        record.line("of " + sent.size() + " others that were sent " + when + ", engines began " + started);
    }

    private void startEngine(int number) {
        String id = "engine-" + number + "-" + lives.incrementAndGet();
        Replica[] self = new Replica[1];
        try {
            self[0] = new Replica(fleet, id, fleet.net + "." + (150 + number), "engine", Fleet.ZONES[number % 3], 11, true, (request, out) -> {
                boolean hasPart = request.header("X-Samphirechute-Prompt-Prefix").contains(PART);
                long arrivedMs = System.currentTimeMillis();
                Thread.sleep(60);
                if (hasPart) {
                    synchronized (this) {
                        arrivalsMs.add(arrivedMs);
                    }
                    record.detail("request " + request.id() + " with the part is begun by " + id);
                }
                if (!hasPart) begun.add(request.id());
                if (hasPart && isTrouble) {
                    crash(self[0], number);
                    return false;
                }
                out.begin(request);
                for (int i = 1; i <= 10; i++) {
                    out.event(i);
                    Thread.sleep(40);
                }
                out.write("0\r\n\r\n");
                return true;
            });
        } catch (java.io.IOException error) {
            throw new java.io.UncheckedIOException(error);
        }
    }

    private void crash(Replica engine, int number) {
        synchronized (this) {
            if (!engine.isOpen) return;
            engine.crash();
            crashesMs.add(System.currentTimeMillis());
            record.detail(engine.id + " crashes, the " + crashesMs.size() + ". crash");
        }
        Replica.daemon(() -> {
            try {
                Thread.sleep(BACK_AFTER_MS);
                startEngine(number);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void send(int number, boolean hasPart) {
        String id = String.format(Locale.ROOT, "%08x%08x", hasPart ? 0xbad : 0, number);
        String fields = "X-Samphirechute-Model: m\r\nX-Samphirechute-Token-Usage: " + PARTS * 20 + ",460\r\n" + prefix(number, hasPart);
        int entry = ThreadLocalRandom.current().nextInt(fleet.entries().size());
        try (Client client = new Client(fleet.entries().get(entry).front(), 11_000)) {
            if (!hasPart) soundMs.put(id, System.currentTimeMillis());
            client.write(Client.head("POST", "/stream/a", id, 10_000, fields, 4) + "body");
            Client.Answer answer = client.read();
            int status = answer.status();
            if (!hasPart && status != 200) refusals.merge(status + " " + answer.text(), 1, Integer::sum);
            record.detail("request " + id + (hasPart ? " with the part" : "") + " at entry-" + (entry + 1) + " is answered " + status
                    + (status == 200 ? "" : " " + answer.text()));
            if (!hasPart) (status == 200 ? served : failed).incrementAndGet();
        } catch (java.io.IOException error) {
            record.detail("request " + id + (hasPart ? " with the part" : "") + " at entry-" + (entry + 1) + " ends: " + error.getMessage());
            if (!hasPart) {
                failed.incrementAndGet();
                refusals.merge(String.valueOf(error.getMessage()), 1, Integer::sum);
            }
        }
    }

    /** All prompts share their parts but for the last one, and some have the bad part besides. */
    private String prefix(int number, boolean hasPart) {
        StringBuilder text = new StringBuilder("X-Samphirechute-Prompt-Prefix: ");
        for (int i = 0; i < PARTS - 1; i++) {
            if (hasPart && i == position) text.append(PART).append(":20,");
            text.append(String.format(Locale.ROOT, "%08x:20,", 0x5c1e0000 + i));
        }
        return text.append(String.format(Locale.ROOT, "%08x:20\r\n", 0x7b000000 + number)).toString();
    }
}
