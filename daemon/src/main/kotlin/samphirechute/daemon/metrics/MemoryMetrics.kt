package samphirechute.daemon.metrics

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.net.HttpServer

/** Exposes the memory that the heads of requests take, and the refusals because of it. */
internal object MemoryMetrics {
    fun register(
        registry: PrometheusRegistry,
        server: HttpServer,
    ) {
        GaugeWithCallback
            .builder()
            .name("samphirechute_head_memory_bytes")
            .help("Memory counted for the heads of requests.")
            .callback { it.call(server.headMemoryBytes.toDouble()) }
            .register(registry)
        CounterWithCallback
            .builder()
            .name("samphirechute_head_memory_refusals_total")
            .help("Requests refused because the memory for heads was used up.")
            .callback { it.call(server.memoryRefusals.toDouble()) }
            .register(registry)
    }
}
