import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Orders for an item whose identifier holds a slash, which its path has as %2F. Their route is that of "/orders/", which
 * is unsafe; a safe route begins with "/orders/stock/". One of three replicas loses the answer of each twentieth order.
 */
final class EncodedSlash {
    private static final int REQUESTS = 600;
    /** answer_lost: x = 0.05 of the requests that the replica ran. */
    private static final int LOST_EVERY = 20;
    private static final String PATH = "/orders/stock%2Fjar-500/place";

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path record) throws Exception {
        boolean isTroubled = Kit.isTroubled();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        AtomicInteger lost = new AtomicInteger();
        try (Kit kit = new Kit(record, 3, 3, 1)) {
            kit.startAll();
            for (int i = 0; i < 3; i++) {
                String zone = kit.zone(i);
                String id = "i-desk" + i;
                boolean losesAnswers = isTroubled && i == 1;
                AtomicInteger count = new AtomicInteger();
                new Replica(kit, id, "desk", i, zone, 6, (request, out, socket) -> {
                    String order = request.header("X-Samphirechute-Request-Id");
                    runs.computeIfAbsent(order, key -> new AtomicInteger()).incrementAndGet();
                    boolean isLost = losesAnswers && count.incrementAndGet() % LOST_EVERY == 0;
                    if (isLost) lost.incrementAndGet();
                    kit.note(id + " runs " + order + " " + request.method + " " + request.uri
                        + (isLost ? ", its answer is lost" : ""));
                    if (isLost) return false;
                    Replica.write(out, "200 OK", Replica.signed(request), "placed");
                    return true;
                });
            }
            if (!kit.putConfig(Configs.orders(1), 30, kit.allControls())) return Kit.NOT_RUN;
            kit.awaitReady(30);
            Thread.sleep(2_500);
            int served = 0;
            for (int i = 1; i <= REQUESTS; i++) {
                Map<String, String> headers = Map.of(
                    "Host", Configs.HOST,
                    "X-Samphirechute-Request-Id", "order" + i,
                    "X-Samphirechute-Deadline-Ms", "1001");
                Http.Answer answer = Http.call(kit.front(i % 3), "POST", PATH, headers, "{\"pallets\":2}", 1_500);
                if (answer.status == 200) served++;
                kit.note("order" + i + " -> " + answer);
            }
            Map<String, Integer> repeated = new TreeMap<>();
            runs.forEach((order, count) -> {
                if (count.get() > 1) repeated.put(order, count.get());
            });
            if (served < REQUESTS / 2) return Kit.NOT_RUN;
            return kit.verdict(!repeated.isEmpty(), repeated.size() + " of " + REQUESTS + " orders ran more than once, "
                + lost + " answers were lost, " + served + " orders were answered with 200; ran: " + repeated);
        }
    }
}
