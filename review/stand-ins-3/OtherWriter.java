import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 13. Another writer, an old agent beside an engine, sends heartbeats under the engine's identifier that name the service
 * which ran there before and hold all numbers as text. Without the disruption it is silent. Exits with 1 if the engine runs
 * orders, which the configuration sends to another service.
 */
final class OtherWriter {
    private static final long TROUBLE_MS = 12_000;
    private static final int CLIENTS = 9;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger misplaced = new AtomicInteger();

    private OtherWriter(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 3)) {
            exit = new OtherWriter(record, fleet).run() ? 1 : 0;
            record.line(exit == 1 ? "ROUTE is broken" : "ROUTE held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private boolean run() throws Exception {
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        Replica engine = start("engine", 0);
        for (int i = 1; i < 3; i++) start("engine", i);
        for (int i = 0; i < 3; i++) start("desk", i);
        fleet.awaitReady(20_000);
        Thread.sleep(3_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.submit(() -> sendRequests(client));
        }
        Thread.sleep(4_000);
        record.line(served + " requests were answered so far, " + misplaced + " orders were run by engines");
        long startMs = System.currentTimeMillis();
        for (int sequence = 1; System.currentTimeMillis() - startMs < TROUBLE_MS; sequence++) {
            if (isTrouble) sendOtherBeat(engine, startMs, sequence);
            Thread.sleep(1_200);
        }
        isOver.set(true);
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        record.line(served + " requests were answered, " + failed + " were not; " + misplaced + " orders were run by engine-0");
        if (served.get() < 100) throw new IllegalStateException("requests are not served");
        return misplaced.get() > 0;
    }

    private Replica start(String service, int number) throws Exception {
        boolean isEngine = service.equals("engine");
        String ip = fleet.net + "." + (isEngine ? 150 + number : 200 + number);
        return new Replica(fleet, service + "-" + number, ip, service, Fleet.ZONES[number], isEngine ? 11 : 6, isEngine, (request, out) -> {
            boolean isOrder = request.path().startsWith("/order/");
            record.detail("request " + request.id() + " to " + request.path() + " is run by " + service + "-" + number);
            if (isOrder && isEngine) misplaced.incrementAndGet();
            Thread.sleep(40);
            if (isOrder) out.answer(request, 200, "done"); else out.stream(request, 3);
            return true;
        });
    }

    private void sendOtherBeat(Replica engine, long bornMs, int sequence) throws Exception {
        String body = "{\"service\":\"desk\",\"address\":\"" + engine.address + "\",\"zone\":\"" + engine.zone
                + "\",\"version\":\"v0\",\"slots\":\"6\",\"state\":\"ready\",\"cold_remaining_ms\":\"0\",\"born\":\"" + bornMs
                + "\",\"sequence\":\"" + sequence + "\"}";
        int status = fleet.call("PUT", fleet.controls().get(sequence % 3).control() + "/v1/instances/" + engine.id, body);
        record.line("the other writer puts " + engine.id + " as " + body + ", which is answered " + status);
    }

    private void sendRequests(int client) {
        int number = 0;
        while (!isOver.get()) {
            try (Client connection = new Client(fleet.entries().get(client % 3).front(), 6_000)) {
                while (!isOver.get()) {
                    boolean isOrder = number % 3 > 0;
                    String id = String.format(Locale.ROOT, "%08x%08x", client, ++number);
                    String fields = isOrder ? "" : "X-Samphirechute-Model: m\r\nX-Samphirechute-Token-Usage: 1460,80\r\n"
                            + "X-Samphirechute-Prompt-Prefix: 5c1e07a2:40," + id + ":1420\r\n";
                    connection.write(Client.head("POST", isOrder ? "/order/a" : "/stream/a", id, isOrder ? 1_000 : 5_000, fields, 4) + "body");
                    int status = connection.read().status();
                    record.detail("request " + id + " at entry-" + (client % 3 + 1) + " is answered " + status);
                    (status == 200 ? served : failed).incrementAndGet();
                    Thread.sleep(100);
                }
            } catch (Exception ended) {
                failed.incrementAndGet();
            }
        }
    }
}
