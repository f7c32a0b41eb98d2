package samphirechute.bench.limits

import samphirechute.bench.system.Build
import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.Workspace

/** Control and entry instances with upstreams of one plain service, spread over the failure domains. */
internal class LimitsSystem(
    workspace: Workspace,
    build: Build,
    clock: RunClock,
) : PlatformProcesses(workspace, "l", List(CONTROLS) { build }, List(ENTRIES) { build }) {
    val upstreams =
        List(UPSTREAMS) {
            val place = UpstreamPlace("upstream-$it", SERVICE, ZONES[it % ZONES.size], front)
            LimitedUpstream(place, controlAddresses, clock)
        }

    /** Waits until all entry instances serve. */
    fun awaitReady() {
        putConfig(0, CONFIG.replace("ROUTES", routes()))
        awaitServing("/check/x")
    }

    override fun close() {
        upstreams.forEach { it.close() }
        super.close()
    }

    private fun routes() =
        mapOf("check" to "safe", "order" to "unsafe", "stream" to "streaming")
            .map { (name, kind) -> route(name, kind, SERVICE) }
            .joinToString(",")

    companion object {
        const val CONTROLS = 3
        const val ENTRIES = 6
        const val UPSTREAMS = 4
        private const val SERVICE = "near"
        private const val CONFIG =
            """{"version":1,"routes":[ROUTES],"services":[{"name":"$SERVICE","health_path":"/health",""" +
                """"max_connections":20}],"tenants":[{"name":"team-1","api_keys":["$KEY"],"priority":1}]}"""
    }
}
