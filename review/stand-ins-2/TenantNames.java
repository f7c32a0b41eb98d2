import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests of tenants of one configuration and of the next, which gives them names in the script of their country. It is
 * checked that no value of X-Samphirechute-Tenant names two tenants; how a name is written in the header is left open.
 */
final class TenantNames {
    private static final List<String> LATIN = List.of("Varna", "Burgas", "Pleven", "Sliven");
    private static final List<String> CYRILLIC = List.of("Варна", "Бургас", "Плевен", "Сливен");
    private static final int REQUESTS = 40;

    public static void main(String[] arguments) {
        Kit.run(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path record) throws Exception {
        List<String> names = Kit.isTroubled() ? CYRILLIC : LATIN;
        Map<String, String> seen = new ConcurrentHashMap<>();
        try (Kit kit = new Kit(record, 3, 3, 1)) {
            kit.startAll();
            for (int i = 0; i < 3; i++) {
                String zone = kit.zone(i);
                String id = "i-desk" + i;
                new Replica(kit, id, "desk", i, zone, 6, (request, out, socket) -> {
                    byte[] value = request.header("X-Samphirechute-Tenant").getBytes(StandardCharsets.ISO_8859_1);
                    String tenant = new String(value, StandardCharsets.UTF_8);
                    seen.put(request.header("X-Samphirechute-Request-Id"), tenant);
                    kit.note(id + " runs " + request.header("X-Samphirechute-Request-Id") + " of tenant '" + tenant + "'");
                    Replica.write(out, "200 OK", Replica.signed(request), "stock of " + tenant);
                    return true;
                });
            }
            if (!kit.putConfig(Configs.tenants(1, LATIN), 30, kit.allControls())) return Kit.NOT_RUN;
            kit.awaitReady(30);
            Thread.sleep(2_500);
            boolean isTaken = kit.putConfig(Configs.tenants(2, names), kit.seconds() + 8, kit.allControls());
            Thread.sleep(3_000);
            Map<String, TreeSet<String>> tenantsByValue = new TreeMap<>();
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String request = "req" + i;
                Map<String, String> headers = Map.of(
                    "Host", Configs.HOST,
                    "X-Samphirechute-Request-Id", request,
                    "X-Samphirechute-Deadline-Ms", "601",
                    "X-Samphirechute-Credential", "key" + i % names.size());
                Http.Answer answer = Http.call(kit.front(i % 3), "GET", "/desk/stock", headers, "", 1_000);
                if (answer.status == 200) served++;
                String name = isTaken ? names.get(i % names.size()) : LATIN.get(i % LATIN.size());
                kit.note(request + " with the key of " + name + " -> " + answer);
                if (seen.containsKey(request)) {
                    tenantsByValue.computeIfAbsent(seen.get(request), key -> new TreeSet<>()).add(name);
                }
            }
            if (served == 0 && !Kit.isTroubled()) return Kit.NOT_RUN;
            boolean isBroken = tenantsByValue.values().stream().anyMatch(tenants -> tenants.size() > 1);
            return kit.verdict(isBroken, "second configuration acknowledged: " + isTaken + ", " + served + " of " + REQUESTS
                + " served, tenants by the value of X-Samphirechute-Tenant: " + tenantsByValue);
        }
    }
}
