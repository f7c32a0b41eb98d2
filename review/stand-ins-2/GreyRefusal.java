import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Orders on an unsafe route. One of eight replicas fails each third order after it has run it: it answers 503 with its
 * signature and without X-Samphirechute-Not-Executed. The client repeats an order only after a promise.
 */
final class GreyRefusal {
    private static final int REPLICAS = 8;
    private static final int ORDERS = 400;
    private static final int CLIENTS = 8;
    private static final long WORK_MS = 21;
    /** srv_grey: x = 0.4 of the requests of the replica; here it is a third. */
    private static final int FAILED_EVERY = 3;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0])));
    }

    private static Http.Answer send(Kit kit, int entry, String id) {
        Map<String, String> headers = Map.of(
            "Host", Configs.HOST,
            "X-Samphirechute-Request-Id", id,
            "X-Samphirechute-Deadline-Ms", "601");
        return Http.call(kit.front(entry), "POST", "/desk/order", headers, "2 pallets", 1_000);
    }

    private static int run(Path record) throws Exception {
        Map<String, String> ran = new ConcurrentHashMap<>();
        AtomicInteger failed = new AtomicInteger();
        try (Kit kit = new Kit(record, 3, 3, 1)) {
            kit.startAll();
            for (int i = 0; i < REPLICAS; i++) {
                String id = "i-desk" + i;
                boolean isGrey = Kit.isTroubled() && i == 1;
                AtomicInteger count = new AtomicInteger();
                new Replica(kit, id, "desk", i, kit.zone(i), 6, (request, out, socket) -> {
                    String attempt = request.header("X-Samphirechute-Request-Id");
                    ran.put(attempt, id);
                    Thread.sleep(WORK_MS);
                    boolean isFailed = isGrey && count.incrementAndGet() % FAILED_EVERY == 0;
                    kit.note(id + " runs " + attempt + (isFailed ? ", then answers 503 without Not-Executed" : ""));
                    if (isFailed) failed.incrementAndGet();
                    String status = isFailed ? "503 Service Unavailable" : "200 OK";
                    Replica.write(out, status, Replica.signed(request), isFailed ? "the ledger is not available" : "placed");
                    return true;
                });
            }
            if (!kit.putConfig(Configs.plain(1, "unsafe", 1_000, 1), 30, kit.allControls())) return Kit.NOT_RUN;
            kit.awaitReady(30);
            Thread.sleep(2_500);
            AtomicInteger next = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger falsePromises = new AtomicInteger();
            AtomicInteger twice = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < CLIENTS; client++) {
                Thread thread = new Thread(() -> {
                    for (int order = next.incrementAndGet(); order <= ORDERS; order = next.incrementAndGet()) {
                        int runs = 0;
                        for (int attempt = 1; attempt <= 2; attempt++) {
                            String id = "order" + order + "-" + attempt;
                            Http.Answer answer = send(kit, (order + attempt) % 3, id);
                            boolean isPromise = PROMISES.contains(answer.status);
                            boolean hasRun = ran.containsKey(id);
                            if (hasRun) runs++;
                            if (isPromise && hasRun) falsePromises.incrementAndGet();
                            kit.note(id + " -> " + answer + (isPromise && hasRun ? ", but " + ran.get(id) + " ran it" : ""));
                            if (answer.status == 200) served.incrementAndGet();
                            if (!isPromise) break;
                        }
                        if (runs > 1) twice.incrementAndGet();
                    }
                });
                clients.add(thread);
                thread.start();
            }
            for (Thread thread : clients) thread.join();
            if (served.get() < ORDERS / 2) return Kit.NOT_RUN;
            return kit.verdict(falsePromises.get() > 0, falsePromises + " attempts were answered 408, 421, 429 or 503 and had run; "
                + twice + " of " + ORDERS + " orders were so placed twice; " + failed + " were failed by the replica, " + served
                + " answered 200");
        }
    }
}
