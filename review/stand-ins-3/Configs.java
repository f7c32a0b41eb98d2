/** The configurations that the stand-in of the operator sends. */
final class Configs {
    static final String LIMITS =
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    static final String TENANT = "{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}";

    private Configs() {}

    static String of(int version, String limits, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("stream", "/stream/", "streaming", "engine", 10_000, 2) + ","
                + route("order", "/order/", "unsafe", "desk", 3_000, 1) + ","
                + route("look", "/look/", "safe", "desk", 3_000, 2)
                + "],\"services\":[{\"name\":\"engine\",\"health_path\":\"/health\",\"max_connections\":480,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":11,\"kv_capacity\":450000,"
                + "\"kv_bytes\":327680,\"link_mbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,"
                + "\"per_seq_ms\":0.007,\"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
                + "\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],"
                + "\"usual\":{\"prompt\":13229,\"answer\":1541},\"hop_ms\":0.1}},"
                + "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":105,\"protocol\":\"h1\",\"tls\":false,"
                + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}]," + limits + ",\"tenants\":[" + tenants + "]}";
    }

    private static String route(String name, String prefix, String kind, String service, int timeoutMs, int attempts) {
        boolean isStream = kind.equals("streaming");
        return "{\"name\":\"" + name + "\",\"host\":\"host.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":" + isStream + ",\"resumable\":" + isStream
                + (isStream ? ",\"target_gap_ms\":200" : "") + "}";
    }
}
