import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 11. Four times for 5 s, half of the replicas break off 3 in 100 of their answers shortly before the end and send a
 * second copy of their answer before on the same connection. They write the lines of a head one by one. Exits with 1 if a client gets a
 * success with other bytes than the whole body of its replica.
 */
final class Garble {
    private static final int REPLICAS = 4;
    private static final int GARBLING = 2;
    private static final double SHARE = 0.03;
    private static final long TROUBLE_MS = 5_000;
    private static final long PERIOD_MS = 10_000;
    private static final int CLIENTS = 12;
    private static final long RUN_MS = 40_000;
    private static final int BODY_BYTES = 800;

    /** Between the lines of a head that is sent late. */
    private static final long PAUSE_MS = Long.parseLong(System.getenv().getOrDefault("PAUSE_MS", "1"));

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private volatile long startMs;
    private final Map<String, String> ranBy = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger garbled = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();

    private Garble(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 3)) {
            exit = new Garble(record, fleet).run() ? 1 : 0;
            record.line(exit == 1 ? "MIXED is broken" : "MIXED held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private boolean run() throws Exception {
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        for (int i = 0; i < REPLICAS; i++) startReplica(i);
        fleet.awaitReady(20_000);
        Thread.sleep(3_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        startMs = System.currentTimeMillis();
        long untilMs = startMs + RUN_MS;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.submit(() -> useKeptConnections(number, untilMs));
        }
        clients.shutdown();
        clients.awaitTermination(RUN_MS + 10_000, TimeUnit.MILLISECONDS);
        record.line("of " + numbers + " requests " + served + " were answered with the whole body of their replica, " + mixed
                + " with a success and other bytes, " + failed + " with a failure; replicas garbled " + garbled + " answers");
        if (served.get() < numbers.get() / 2) throw new IllegalStateException("requests are not served");
        return mixed.get() > 0;
    }

    private void startReplica(int number) throws Exception {
        boolean isGarbling = isTrouble && number < GARBLING;
        Random random = new Random(number);
        ThreadLocal<String> before = new ThreadLocal<>();
        new Replica(fleet, "desk-" + number, fleet.net + "." + (200 + number), "desk", Fleet.ZONES[number % 3], 6, false, (request, out) -> {
            Thread.sleep(15);
            ranBy.put(request.id(), "desk-" + number);
            String body = bodyOf(request.id());
            String earlier = before.get();
            boolean isGarbled = isGarbling && earlier != null && isTime() && random.nextDouble() < SHARE;
            String head = headOf(request.id(), body.length());
            if (!isGarbled) {
                out.write(head + body);
                before.set(request.id());
                return true;
            }
            garbled.incrementAndGet();
            int missing = 1 + random.nextInt(17);
            record.detail("desk-" + number + " breaks the answer to " + request.id() + " off " + missing
                    + " bytes before its end, and answers " + earlier + " a second time behind it");
            out.write(head + body.substring(0, body.length() - missing));
            Thread.sleep(5);
            for (String line : headOf(earlier, BODY_BYTES).split("(?<=\r\n)")) {
                out.write(line);
                if (PAUSE_MS > 0) Thread.sleep(PAUSE_MS);
            }
            out.write(bodyOf(earlier));
            return true;
        });
    }

    /** True for 5 s of each 10 s since the clients began. */
    private boolean isTime() {
        return (System.currentTimeMillis() - startMs) % PERIOD_MS < TROUBLE_MS;
    }

    private static String headOf(String id, int length) {
        return "HTTP/1.1 200 OK\r\nX-Samphirechute-Request-Id: " + id + "\r\nX-Samphirechute-Response-Signature: sig-" + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String bodyOf(String id) {
        return ("answer to " + id + ". ").repeat(40).substring(0, BODY_BYTES);
    }

    private void useKeptConnections(int client, long untilMs) {
        Random random = new Random(100 + client);
        while (System.currentTimeMillis() < untilMs) {
            try (Client connection = new Client(fleet.entries().get(client % 3).front(), 4_000)) {
                while (System.currentTimeMillis() < untilMs) {
                    boolean isOrder = random.nextInt(3) > 0;
                    String id = String.format(Locale.ROOT, "%016x", numbers.incrementAndGet());
                    connection.write(Client.head(isOrder ? "POST" : "GET", isOrder ? "/order/a" : "/look/a", id, 1_000, "",
                            isOrder ? 4 : -1) + (isOrder ? "body" : ""));
                    Client.Answer answer = connection.read();
                    record.detail("request " + id + " to " + (isOrder ? "order" : "look") + " at entry-" + (client % 3 + 1)
                            + ": run by " + ranBy.get(id) + ", answered " + answer.status());
                    check(id, isOrder ? "order" : "look", answer);
                    Thread.sleep(200);
                }
            } catch (Exception ended) {
                failed.incrementAndGet();
            }
        }
    }

    private void check(String id, String route, Client.Answer answer) {
        if (answer.status() != 200) {
            failed.incrementAndGet();
        } else if (answer.text().equals(bodyOf(id))) {
            served.incrementAndGet();
        } else {
            mixed.incrementAndGet();
            String end = answer.text().substring(Math.max(0, answer.body().length - 40)).replace("\r\n", "\\r\\n");
            record.line(route + " request " + id + " is answered 200 with the signature "
                    + answer.header("X-Samphirechute-Response-Signature") + " and a body that ends in '" + end + "'");
        }
    }
}
