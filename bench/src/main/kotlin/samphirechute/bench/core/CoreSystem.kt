package samphirechute.bench.core

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import samphirechute.bench.system.Answer
import samphirechute.bench.system.Build
import samphirechute.bench.system.Child
import samphirechute.bench.system.Http
import samphirechute.bench.system.Launch
import samphirechute.bench.system.PlatformUpstream
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.Workspace
import samphirechute.platform.PlatformHeaders
import samphirechute.platform.SETTINGS_VARIABLE
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.writeText

/** Control instances that are replaced, entry instances and one upstream. Each machine has an address of its own. */
internal class CoreSystem(
    private val workspace: Workspace,
    private val build: Build,
    private val plan: CorePlan,
) : AutoCloseable {
    /** One machine, with the process on it once that has started. */
    inner class Machine(
        val name: String,
        private val role: String,
        private val zone: String,
        val ip: String,
        private val isFirst: Boolean,
    ) {
        @Volatile var child: Child? = null
            private set
        val hasStarted get() = child?.log().orEmpty().any { "event=started " in it }
        val data get() = workspace.folder(name)
        val operatorAddress = "$ip:$operatorPort"
        private val readyPort = workspace.freePorts(front, 1).single()

        /** Where an entry instance takes requests. All share an IP address, which is the host of all routes. */
        val frontAddress = "$front:${workspace.freePorts(front, 1).single()}"

        /** Starts or restarts the process with a list of addresses. */
        @Synchronized
        fun start(seeds: List<String>) {
            if (isOff) return
            val file = writeSettings(seeds)
            val variables = mapOf(SETTINGS_VARIABLE to "$file")
            child?.restart()
            if (child == null) child = workspace.start(name, build, Launch(command(), build.folder, variables))
        }

        /** Writes the settings file, which a running process reads again, and returns it. */
        fun writeSettings(seeds: List<String>): Path =
            workspace.folder("settings").resolve("$name.json").apply { writeText(settings(seeds).toString()) }

        private fun command(): List<String> {
            val command = build.roleCommand(role)
            if (role != "control" || plan.kept == Kept.WRITTEN) return command
            val path =
                listOf(
                    "target/samphirechute.jar",
                    "bench/target/bench.jar",
                ).joinToString(":") { "${build.folder}/$it" }
            return command.take(1) + command.filter { it.startsWith("-X") && "Archive" !in it } +
                listOf("-cp", path, "samphirechute.bench.core.ShadowControlKt", role)
        }

        private fun settings(seeds: List<String>) =
            JsonObject(
                mapOf(
                    "node_name" to JsonPrimitive(name),
                    "zone" to JsonPrimitive(zone),
                    "ip" to JsonPrimitive(ip),
                    "internal_ports" to JsonArray(listOf(JsonPrimitive(peerPort))),
                    "seeds" to JsonArray(seeds.map { JsonPrimitive("$it:$peerPort") }),
                    "bootstrap" to JsonPrimitive(isFirst),
                    "heartbeat_interval_ms" to JsonPrimitive(HEARTBEAT_MS),
                    "data_dir" to JsonPrimitive("$data"),
                    "listen" to JsonObject(listen().mapValues { JsonPrimitive(it.value) }),
                    "bounds" to JsonObject(mapOf("budget_slack" to JsonPrimitive(219), "grace_s" to JsonPrimitive(8))),
                    "fault_tolerance" to
                        JsonObject(mapOf("machines" to JsonPrimitive(1), "zones" to JsonPrimitive(1))),
                    "contracts" to JsonArray(listOf(JsonPrimitive("base"))),
                ),
            )

        private fun listen() =
            when (role) {
                "control" -> mapOf("control" to operatorAddress)
                else -> mapOf("front" to frontAddress, "ready" to "$front:$readyPort")
            }
    }

    private val front = workspace.ip(1)
    private val ports = workspace.freePorts(workspace.ip(FIRST_CONTROL), 2)
    private val peerPort = ports[0]
    private val operatorPort = ports[1]

    /** True between a loss of power and the start after it, so that nothing starts meanwhile. */
    @Volatile private var isOff = false
    private val founders =
        ZONES.mapIndexed { i, zone -> Machine("$zone-1", "control", zone, workspace.ip(FIRST_CONTROL + i), true) }
    private val successors =
        ZONES.mapIndexed { i, zone -> Machine("$zone-5", "control", zone, workspace.ip(FIRST_SUCCESSOR + i), false) }

    /** The control machines that count now. */
    val core = CopyOnWriteArrayList(founders)
    val entries =
        List(plan.entries) {
            Machine("entry-$it", "entry", ZONES[it % ZONES.size], workspace.ip(FIRST_ENTRY + it), true)
        }

    /** Where operators and upstreams call; a view that follows [core]. */
    val operatorAddresses =
        object : AbstractList<String>() {
            override val size get() = core.size

            override fun get(index: Int) = core[index].operatorAddress
        }
    private val upstream =
        PlatformUpstream(
            UpstreamPlace("upstream-0", SERVICE, ZONES[0], front),
            operatorAddresses,
            announceCallMs = ANNOUNCE_CALL_MS,
        )
    private val lastRequest = AtomicInteger()

    /** All machines that have run, for their logs. */
    val machines get() = founders + successors + entries

    fun seeds(): List<String> = core.map { it.ip }

    fun start() = (core + entries).forEach { it.start(seeds()) }

    fun successor(control: Int) = successors[control]

    fun founder(control: Int) = founders[control]

    /** Lists the successor in the place of the machine that it replaces. */
    fun listSuccessor(control: Int) {
        core[control] = successors[control]
    }

    /** Ends all processes at the same moment. */
    fun cutPower() {
        isOff = true
        machines.forEach { it.child?.cutPower() }
    }

    /** Waits for the end of all processes, and starts the successors and the entry instances. */
    fun restorePower(restore: (Machine) -> Unit) {
        machines.forEach { it.child?.kill() }
        successors.indices.forEach(::listSuccessor)
        core.forEach(restore)
        isOff = false
        (core + entries).forEach { it.start(seeds()) }
    }

    fun send(
        entry: Machine,
        route: String,
        limitMs: Long = CALL_MS,
    ): Answer {
        val headers =
            mapOf(
                PlatformHeaders.REQUEST_ID to "core-${workspace.seed}-${lastRequest.incrementAndGet()}",
                PlatformHeaders.CREDENTIAL to KEY,
                PlatformHeaders.DEADLINE_MS to "$DEADLINE_MS",
            )
        return Http.call(entry.frontAddress, "POST", "/$route/x", "question", headers, limitMs)
    }

    fun configuration(
        number: Long,
        routes: Set<String>,
    ): String {
        val written = routes.joinToString(",", transform = ::route)
        return """{"version":$number,"routes":[$written],"services":[{"name":"$SERVICE","health_path":"/health",""" +
            """"max_connections":60}],"tenants":[{"name":"team-1","api_keys":["$KEY"],"priority":1}]}"""
    }

    private fun route(name: String) =
        """{"name":"$name","host":"$front","path_prefix":"/$name/","kind":"safe","timeout_ms":$DEADLINE_MS,""" +
            """"target_latency_ms":300,"priority":1,"service":"$SERVICE","max_attempts":2,"public":false}"""

    override fun close() {
        upstream.close()
        machines.forEach { it.child?.close() }
    }

    private companion object {
        val ZONES = listOf("a", "b", "c")
        const val SERVICE = "near"
        const val KEY = "key-1"
        const val FIRST_CONTROL = 10
        const val FIRST_SUCCESSOR = 20
        const val FIRST_ENTRY = 30
        const val HEARTBEAT_MS = 1_200
        const val ANNOUNCE_CALL_MS = 300L
        const val DEADLINE_MS = 3_000
        const val CALL_MS = 4_000L
    }
}
