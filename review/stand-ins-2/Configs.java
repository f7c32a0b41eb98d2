/** The configurations that the operator of the cases sends. */
final class Configs {
    private Configs() {}

    static final String HOST = "desk.example";

    /** One route to one plain service. */
    static String plain(int version, String kind, int timeoutMs, int attempts) {
        return whole(version, route("r-plain", "/desk/", kind, timeoutMs, attempts, false));
    }

    static String stream(int version, int timeoutMs, boolean isResumable) {
        return whole(version, route("r-stream", "/desk/", "streaming", timeoutMs, 2, isResumable));
    }

    /** An unsafe route and a safe one with a longer prefix, to the same service. */
    static String orders(int version) {
        return whole(version, route("r-orders", "/orders/", "unsafe", 1_000, 1, false) + ","
            + route("r-stock", "/orders/stock/", "safe", 1_000, 2, false));
    }

    /** One route that needs a key, and tenants, each with one key: key0, key1 and so on. */
    static String tenants(int version, java.util.List<String> names) {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            tenants.append(i == 0 ? "" : ",").append("{\"name\":\"").append(names.get(i))
                .append("\",\"api_keys\":[\"key").append(i).append("\"],\"priority\":1}");
        }
        return plain(version, "safe", 600, 2).replace("\"public\":true", "\"public\":false")
            .replace("\"tenants\":[]", "\"tenants\":[" + tenants + "]");
    }

    private static String route(
        String name, String prefix, String kind, int timeoutMs, int attempts, boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\","
            + "\"max_attempts\":" + attempts + ",\"public\":true,\"sticky\":false,\"resumable\":" + isResumable
            + ",\"target_gap_ms\":200}";
    }

    private static String whole(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"desk\","
            + "\"health_path\":\"/health\",\"max_connections\":214,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
            + "\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }
}
