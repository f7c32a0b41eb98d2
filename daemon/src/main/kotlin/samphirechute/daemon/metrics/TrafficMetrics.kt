package samphirechute.daemon.metrics

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.net.TrafficCounter

/** Exposes the bytes of the connections that this instance opened (client) and that others opened to it (server). */
internal object TrafficMetrics {
    fun register(
        registry: PrometheusRegistry,
        client: TrafficCounter,
        server: TrafficCounter,
    ) {
        CounterWithCallback
            .builder()
            .name("samphirechute_network_bytes_total")
            .help("Bytes read and written by sockets, HTTP heads included.")
            .labelNames("side", "direction")
            .callback { callback ->
                callback.call(client.readBytes.toDouble(), "client", "read")
                callback.call(client.writtenBytes.toDouble(), "client", "written")
                callback.call(server.readBytes.toDouble(), "server", "read")
                callback.call(server.writtenBytes.toDouble(), "server", "written")
            }.register(registry)
    }
}
