package samphirechute.bench.mixed

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import samphirechute.bench.system.Answer
import samphirechute.bench.system.Build
import samphirechute.bench.system.Child
import samphirechute.bench.system.Http
import samphirechute.bench.system.Launch
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.expect
import samphirechute.bench.system.expectEqual
import samphirechute.bench.system.label
import java.nio.file.Path
import kotlin.io.path.writeText

/** Instances of the daemon as processes, one for each failure domain, each of a build of its own, with stand-ins. */
internal class DaemonSystem(
    private val workspace: Workspace,
    private val name: String,
    builds: List<Build>,
) : AutoCloseable {
    private val ip = workspace.ip(2)
    private val addresses = workspace.freePorts(ip, DOMAINS.size).map { "$ip:$it" }
    private val settings = DOMAINS.indices.map(::writeSettings)
    private val standIns = ArrayList<Child>()
    private var lastRequest = 0
    val instances = builds.mapIndexed { index, build -> start(index, build) }.toMutableList()

    fun start(
        index: Int,
        build: Build,
    ): Child {
        val command = build.script("samphirechuted", "--config", "${settings[index]}")
        return workspace.start(DOMAINS[index], build, Launch(command, workspace.folder))
    }

    /** Starts an engine or an application in the failure domain of an instance, which it announces itself to. */
    fun startStandIn(
        kind: String,
        index: Int,
        build: Build,
    ) {
        val id = "$kind-$index"
        val pools = if (kind == "engine") "kavarna-draft,rayhana-assist" else "kavarna-ordering,rayhana-booking"
        val place = listOf("--id", id, "--failure-domain", DOMAINS[index], "--listen", "$ip:0")
        val served = listOf("--announce", addresses[index], "--pools", pools)
        val command = build.script("standin", kind) + place + served
        standIns += workspace.start("$name-$id", build, Launch(command, workspace.folder))
    }

    fun dataFolder(index: Int): Path = workspace.folder.resolve("$name-${DOMAINS[index]}")

    fun get(
        index: Int,
        path: String,
    ): Answer = Http.call(addresses[index], "GET", path)

    fun status(index: Int): JsonObject = get(index, "/operator/v1/status").json()

    fun revision(index: Int): Long =
        status(index)
            .getValue("revision")
            .jsonPrimitive.content
            .toLong()

    /** The drained targets by name. */
    fun drains(index: Int): List<String> =
        status(index)["drains"]?.jsonArray.orEmpty().map {
            it.jsonObject
                .getValue("name")
                .jsonPrimitive.content
        }

    /** The instance that leads the store, as the instances that live say with one voice, or null. */
    fun leader(): Child? {
        val living = instances.indices.filter { instances[it].isAlive }
        val named =
            living
                .map {
                    status(it)
                        .getValue("store")
                        .jsonObject["leader"]
                        ?.jsonPrimitive
                        ?.content
                }.toSet()
        return instances.firstOrNull { it.isAlive && it.name == named.singleOrNull() }
    }

    fun awaitReady(serving: List<Int> = DOMAINS.indices.toList()) =
        serving.forEach { index ->
            await("${instances[index].label} to be ready") {
                get(index, "/readyz").takeIf { it.status != OK }?.toString()
            }
        }

    /** Runs the operator command line of [build] against one instance; returns what it printed. */
    fun operate(
        build: Build,
        index: Int,
        vararg arguments: String,
    ): String {
        val (status, text) =
            workspace.run("ctl", build, build.script("samphirectl", *arguments, "--server", addresses[index]))
        expect("samphirectl ($build) ${arguments.first()} to succeed") { if (status == 0) null else "$status $text" }
        return text
    }

    /** Puts the services of the examples in force at all instances. */
    fun publish(
        build: Build,
        index: Int,
    ) {
        val examples = listOf("kavarna", "rayhana").map { "${build.folder}/examples/$it" }
        operate(build, index, "publish", "--wait", *examples.toTypedArray())
        val revision = revision(index)
        instances.indices.forEach { other ->
            await("revision $revision at ${instances[other].label}") {
                revision(other).takeIf { instances[other].isAlive && it < revision }?.toString()
            }
        }
    }

    /** Waits until all services have upstreams, as an instance sees them. */
    fun awaitUpstreams(index: Int) =
        await("upstreams for all services at ${instances[index].label}") {
            val services = get(index, "/operator/v1/services").json().getValue("services").jsonArray
            services
                .firstOrNull {
                    it.jsonObject
                        .getValue("upstreams")
                        .jsonPrimitive.content == "0"
                }?.toString()
        }

    /** An identifier that no other request has. */
    fun nextRequest() = "$name-${workspace.seed}-${++lastRequest}"

    fun order(
        index: Int,
        request: String,
    ): Answer = post(index, "/v1/services/pallet-order/pallets", """{"pallets":2}""", request)

    fun complete(
        index: Int,
        request: String,
        service: String,
        isStream: Boolean = false,
    ): Answer {
        val body = """{"model":"$service","prompt":"A lid does not close.","max_tokens":$TOKENS,"stream":$isStream}"""
        return post(index, "/v1/completions", body, request)
    }

    /** Has a document accepted and waits for its answer; returns its path and the answer. */
    fun document(index: Int): Pair<String, String> {
        val accepted = complete(index, nextRequest(), "season-review")
        expectEqual("status of a document", ACCEPTED, accepted.status)
        val path = checkNotNull(accepted.location) { "the answer names no document" }
        await("the answer of document $path") { get(index, path).takeIf { it.status != OK }?.toString() }
        return path to get(index, path).body
    }

    /** How often the applications ran an order, all together. */
    fun executions(request: String): Int =
        standIns.filter { "application" in it.name }.sumOf { application ->
            val address = application.log().first { it.startsWith(LISTENING) }.removePrefix(LISTENING)
            val count = Http.call(address, "GET", "/control/count?request=$request").json()
            count
                .getValue("count")
                .jsonPrimitive.content
                .toInt()
        }

    override fun close() = (instances + standIns).filter { it.isAlive }.forEach { it.kill() }

    private fun post(
        index: Int,
        path: String,
        body: String,
        request: String,
    ) = Http.call(addresses[index], "POST", path, body, mapOf("Idempotency-Key" to request))

    private fun writeSettings(index: Int): Path {
        val file = workspace.folder("settings").resolve("$name-${DOMAINS[index]}.toml")
        val peers =
            DOMAINS.indices.joinToString("") {
                "\n[[peers]]\ninstance = \"${DOMAINS[it]}\"\nfailure_domain = \"${DOMAINS[it]}\"\n" +
                    "address = \"${addresses[it]}\"\nstore = true\n"
            }
        file.writeText(
            "instance = \"${DOMAINS[index]}\"\nfailure_domain = \"${DOMAINS[index]}\"\n" +
                "listen = \"${addresses[index]}\"\n\n[store]\ndata_folder = \"${dataFolder(index)}\"\n$peers",
        )
        return file
    }

    companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val TOKENS = 40

        /** Instances are called like their failure domains. */
        val DOMAINS = listOf("sofia-a", "sofia-b", "sofia-c")
        private const val LISTENING = "listening on "
    }
}
