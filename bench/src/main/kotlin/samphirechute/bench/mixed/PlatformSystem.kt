package samphirechute.bench.mixed

import samphirechute.bench.system.Build
import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.PlatformUpstream
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.label
import samphirechute.platform.ControlApi

/**
 * Processes of the platform with an upstream of the service "near" and one of the service "far", which is alone in the
 * failure domain that is drained.
 */
internal class PlatformSystem(
    workspace: Workspace,
    name: String,
    controlBuilds: List<Build>,
    entryBuilds: List<Build>,
) : PlatformProcesses(workspace, name, controlBuilds, entryBuilds) {
    val near = PlatformUpstream(UpstreamPlace("near-1", "near", "a", front), controlAddresses)
    private val far = PlatformUpstream(UpstreamPlace("far-1", "far", DRAINED, front), controlAddresses)

    fun config(
        version: Int,
        filler: String = "",
    ): String {
        val routes =
            listOf(
                route("order", "unsafe", "near"),
                route("stream", "streaming", "near"),
                route("far", "safe", "far"),
                route("version-$version", "safe", "near"),
            )
        val services = listOf("near", "far").map { """{"name":"$it","health_path":"/health","max_connections":20}""" }
        return """{"version":$version,"note":"$filler","routes":[${routes.joinToString(",")}],""" +
            """"services":[${services.joinToString(",")}],""" +
            """"tenants":[{"name":"team-1","api_keys":["$KEY"],"priority":1}]}"""
    }

    fun setDrained(
        control: Int,
        isDrained: Boolean,
    ) = change(control, if (isDrained) "POST" else "DELETE", ControlApi.EVACUATIONS + DRAINED)

    fun awaitStatus(
        entry: Int,
        path: String,
        status: Int,
    ) = await("status $status of ${entries[entry].label} for $path", CHANGE_MS) {
        send(entry, path).takeIf { it.status != status }?.toString()
    }

    fun awaitServed(version: Int) = entries.indices.forEach { awaitStatus(it, "/version-$version/x", OK) }

    override fun close() {
        near.close()
        far.close()
        super.close()
    }

    companion object {
        /** The failure domain that is drained. */
        const val DRAINED = "b"
    }
}
