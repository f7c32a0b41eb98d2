package samphirechute.bench.system

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import samphirechute.platform.ControlApi
import samphirechute.platform.PlatformHeaders
import samphirechute.platform.SETTINGS_VARIABLE
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Control and entry instances of the platform as processes, each of a build of its own. */
internal open class PlatformProcesses(
    private val workspace: Workspace,
    private val name: String,
    controlBuilds: List<Build>,
    entryBuilds: List<Build>,
) : AutoCloseable {
    protected val front = workspace.ip(1)
    private val ports = workspace.freePorts(front, controlBuilds.size + 2 * entryBuilds.size)
    private val peerPort = workspace.freePorts(workspace.ip(FIRST_CONTROL), 1).single()
    private var lastRequest = 0

    /** The addresses of operators and upstreams, in the order of [controls]. */
    val controlAddresses = controlBuilds.indices.map { "$front:${ports[it]}" }
    private val seeds = controlBuilds.indices.map { "${workspace.ip(FIRST_CONTROL + it)}:$peerPort" }
    private val entryPorts = ports.drop(controlBuilds.size).chunked(2)
    val controls = controlBuilds.mapIndexed { index, build -> startControl(index, build) }.toMutableList()
    val entries = entryBuilds.mapIndexed { index, build -> startEntry(index, build) }.toMutableList()

    fun startControl(
        index: Int,
        build: Build,
    ): Child {
        val listen = mapOf("control" to controlAddresses[index])
        return start("control", index, build, workspace.ip(FIRST_CONTROL + index), listen)
    }

    fun startEntry(
        index: Int,
        build: Build,
    ): Child {
        val (requests, ready) = entryPorts[index]
        val listen = mapOf("front" to "$front:$requests", "ready" to "$front:$ready")
        return start("entry", index, build, workspace.ip(FIRST_ENTRY + index), listen)
    }

    fun dataFolder(control: Int): Path = workspace.folder("$name-control-$control")

    /** The control instance that leads, by the log lines of those that live, or null. */
    fun leader(): Child? {
        val terms = controls.filter { it.isAlive }.associateWith(::ledTerm).filterValues { it >= 0 }
        return terms.maxByOrNull { it.value }?.key
    }

    fun operate(
        control: Int,
        method: String,
        path: String,
        body: String = "",
    ): Answer = Http.call(controlAddresses[control], method, path, body)

    /** Makes a change that may be refused for a moment after a start or the loss of a leader. */
    fun change(
        control: Int,
        method: String,
        path: String,
        body: String = "",
    ) = await("status 200 of ${controls[control].label} for $method $path", CHANGE_MS) {
        operate(control, method, path, body).takeIf { it.status != OK }?.toString()
    }

    fun putConfig(
        control: Int,
        content: String,
    ) = change(control, "PUT", ControlApi.CONFIG, content)

    /** An identifier that no other request has. */
    fun nextRequest() = "$name-${workspace.seed}-${++lastRequest}"

    fun send(
        entry: Int,
        path: String,
        request: String = nextRequest(),
        deadlineMs: Long = DEADLINE_MS,
    ): Answer {
        val headers =
            mapOf(
                PlatformHeaders.REQUEST_ID to request,
                PlatformHeaders.CREDENTIAL to KEY,
                PlatformHeaders.DEADLINE_MS to "$deadlineMs",
            )
        return Http.call("$front:${entryPorts[entry][0]}", "POST", path, "question", headers)
    }

    override fun close() {
        (controls + entries).forEach { it.close() }
    }

    private fun start(
        role: String,
        index: Int,
        build: Build,
        ip: String,
        listen: Map<String, String>,
    ): Child {
        val file = workspace.folder("settings").resolve("$name-$role-$index.json")
        val template = build.folder.resolve("deploy/settings.json").readText()
        file.writeText(template.replace("{{.|json}}", settings(role, index, ip, listen).toString()))
        val variables = mapOf(SETTINGS_VARIABLE to "$file")
        return workspace.start("$name-$role-$index", build, Launch(build.roleCommand(role), build.folder, variables))
    }

    /** The fields that the platform fills in. */
    private fun settings(
        role: String,
        index: Int,
        ip: String,
        listen: Map<String, String>,
    ) = JsonObject(
        mapOf(
            "node_name" to JsonPrimitive("$role-$index"),
            "zone" to JsonPrimitive(ZONES[index % ZONES.size]),
            "ip" to JsonPrimitive(ip),
            "internal_ports" to JsonArray(listOf(JsonPrimitive(peerPort))),
            "seeds" to JsonArray(seeds.map(::JsonPrimitive)),
            "bootstrap" to JsonPrimitive(true),
            "heartbeat_interval_ms" to JsonPrimitive(HEARTBEAT_MS),
            "data_dir" to JsonPrimitive("${workspace.folder("$name-$role-$index")}"),
            "listen" to JsonObject(listen.mapValues { JsonPrimitive(it.value) }),
            "bounds" to JsonObject(mapOf("budget_slack" to JsonPrimitive(219), "grace_s" to JsonPrimitive(8))),
            "fault_tolerance" to JsonObject(mapOf("machines" to JsonPrimitive(1), "zones" to JsonPrimitive(1))),
            "contracts" to JsonArray(listOf(JsonPrimitive("base"))),
        ),
    )

    /** Where an entry instance takes requests. */
    fun requestAddress(entry: Int) = InetSocketAddress(front, entryPorts[entry][0])

    /** Where an entry instance says whether it is ready. */
    fun readyAddress(entry: Int) = InetSocketAddress(front, entryPorts[entry][1])

    /** Waits until all entry instances serve. */
    protected fun awaitServing(path: String) {
        for (entry in entries.indices) {
            await("status $OK of ${entries[entry].name}", CHANGE_MS) {
                send(entry, path).takeIf { it.status != OK }?.toString()
            }
        }
    }

    /** The term in which an instance leads by its own log, or -1. */
    private fun ledTerm(control: Child): Long {
        val last = control.log().lastOrNull { "event=leadership_" in it } ?: return -1
        return if ("event=leadership_gained" in last) last.substringAfter("term=").toLong() else -1
    }

    /** A route to a service, for the content of a configuration. */
    protected fun route(
        name: String,
        kind: String,
        service: String,
        timeoutMs: Long = DEADLINE_MS,
    ) = """{"name":"$name","host":"$front","path_prefix":"/$name/","kind":"$kind","timeout_ms":$timeoutMs,""" +
        """"target_latency_ms":300,"priority":1,"service":"$service","max_attempts":2,"public":false,""" +
        """"resumable":${kind == "streaming"},"target_gap_ms":200}"""

    companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        val ZONES = listOf("a", "b", "c")
        const val KEY = "key-1"
        private const val FIRST_CONTROL = 10
        private const val FIRST_ENTRY = 20
        private const val HEARTBEAT_MS = 1_200
        private const val DEADLINE_MS = 5_000L

        /** Covers an election and the time after which an instance that is gone counts as silent. */
        const val CHANGE_MS = 30_000L
    }
}

/** The process with its build, as it stands in the output. */
internal val Child.label: String get() = "$name ($build)"
