package samphirechute.serving.cluster

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.log.KeyValueLog
import samphirechute.routing.pace.PaceTable

/** Logs each change of the pace of an upstream at this instance, and gives the paces as a metric. */
class PaceMonitor(
    private val pace: PaceTable,
    registry: PrometheusRegistry,
) {
    init {
        GaugeWithCallback
            .builder()
            .name("samphirechute_upstream_pace")
            .help("The part of its usual load that an upstream is given by this instance; 1 if it is undisturbed.")
            .labelNames("upstream")
            .callback { callback -> pace.parts.forEach { callback.call(it.value, it.key.value) } }
            .register(registry)
    }

    fun start() {
        pace.onChange = {
            log.event(
                "pace_changed",
                mapOf(
                    "upstream" to it.upstream,
                    "cause" to it.cause.name.lowercase(),
                    "before" to it.beforePart,
                    "part" to it.part,
                    "usual_per_s" to it.usualPerS,
                ),
            )
        }
    }

    private companion object {
        val log = KeyValueLog("pace")
    }
}
