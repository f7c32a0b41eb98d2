package samphirechute.bench.stops

import samphirechute.bench.system.Build
import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.Workspace
import java.util.concurrent.atomic.AtomicInteger

/** Control and entry instances with upstreams of two plain services that write some answers twice. */
internal class StopsSystem(
    workspace: Workspace,
    build: Build,
    clock: RunClock,
    stutterPercent: Int,
) : PlatformProcesses(workspace, "s", List(CONTROLS) { build }, List(ENTRIES) { build }) {
    private val lastVersion = AtomicInteger()
    val upstreams =
        SERVICES.mapIndexed { index, service ->
            val place = UpstreamPlace("$service-$index", service, ZONES[index % ZONES.size], front)
            StopsUpstream(place, controlAddresses, clock, workspace.seed, stutterPercent)
        }

    /** Waits until all entry instances serve both services. */
    fun awaitReady() {
        putNextConfig(0)
        for (route in listOf(
            RouteOfStops.CHECK,
            RouteOfStops.LOOK,
        )) {
            awaitServing("/${route.path}/0/$SUCCEEDING_VARIANT")
        }
    }

    /** Each version has a route more that nobody uses, so that its content is new. */
    fun putNextConfig(control: Int) {
        val version = lastVersion.incrementAndGet()
        val routes = RouteOfStops.entries.map { route(it.path, it.kind, it.service, it.timeoutMs) }
        val unused = route("unused$version", RouteOfStops.CHECK.kind, RouteOfStops.CHECK.service)
        val services =
            SERVICES.distinct().joinToString(",") { """{"name":"$it","health_path":"/health","max_connections":60}""" }
        putConfig(
            control,
            """{"version":$version,"routes":[${(routes + unused).joinToString(",")}],"services":[$services],""" +
                """"tenants":[{"name":"team-1","api_keys":["$KEY"],"priority":1}]}""",
        )
    }

    override fun close() {
        upstreams.forEach { it.close() }
        super.close()
    }

    companion object {
        const val CONTROLS = 3
        const val ENTRIES = 6
        val SERVICES = listOf("flow", "flow", "flow", "shop", "shop")

        /** A variant of the work whose first answer is a success. */
        private val SUCCEEDING_VARIANT =
            (0..Int.MAX_VALUE).first {
                Work
                    .of(
                        "/${RouteOfStops.CHECK.path}/0/$it",
                    ).run { status(1) == OK && !isUnframed }
            }
    }
}
