package samphirechute.bench.mixed

import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import samphirechute.bench.system.Build
import samphirechute.bench.system.Child
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.expect
import samphirechute.bench.system.expectEqual
import samphirechute.bench.system.label

/** Part D: daemons of both builds in one cluster, while one of the old build leads the store and then one of the new. */
internal class MixedDaemons(
    private val workspace: Workspace,
    private val checks: Checks,
    private val old: Build,
    private val new: Build,
) {
    private val orders = ArrayList<String>()

    fun run() {
        val builds = listOf(old, old, new).shuffled(workspace.random)
        DaemonSystem(workspace, "d", builds).use { system ->
            val isStarted =
                checks.check("D.start") {
                    ALL.forEach { system.startStandIn("engine", it, builds[it]) }
                    ALL.forEach { system.startStandIn("application", it, builds[it]) }
                    system.awaitReady()
                    system.publish(old, 0)
                    ALL.forEach(system::awaitUpstreams)
                    "instances=${builds.joinToString(",")}"
                }
            if (isStarted) listOf(old, new).forEach { under(system, it) }
            checks.check("D.once") {
                expect("no order that ran twice") {
                    orders.associateWith(system::executions).filterValues { it > 1 }.toText()
                }
                "orders=${orders.size}"
            }
        }
    }

    private fun under(
        system: DaemonSystem,
        build: Build,
    ) {
        val name = "D.$build-leads"
        if (!checks.check(name) { lead(system, build) }) return
        val led = { part: String, action: () -> String ->
            checks.check("$name.$part") {
                action().also { expectEqual("a leader of build", build, system.leader()?.build) }
            }
        }
        led("orders") { orders(system) }
        led("streams") { streams(system) }
        led("documents") {
            ALL.forEach { accepting ->
                val (path, answer) = system.document(accepting)
                ALL.forEach { expectEqual("the document", "200 $answer", "${system.get(it, path)}") }
            }
            "documents=${ALL.size}"
        }
        led("change") {
            ALL.forEach { system.publish(listOf(old, new)[it % 2], it) }
            "revision=${system.revision(0)}"
        }
        led("drain") { drain(system) }
        checks.check("$name.loss") { "lost=${endLeader(system).label} leader=${awaitLeader(system).label}" }
    }

    /** Ends the leader until one of [build] leads. */
    private fun lead(
        system: DaemonSystem,
        build: Build,
    ): String {
        var ended = 0
        while (awaitLeader(system).build != build) {
            expect("a leader of build $build") { "none after $ended were ended".takeIf { ended >= MAX_ENDED } }
            endLeader(system)
            ended++
        }
        return "leader=${awaitLeader(system).name} ended=$ended"
    }

    private fun orders(system: DaemonSystem): String {
        val sent = ALL.flatMap { index -> List(ORDERS) { index to system.nextRequest() } }
        orders += sent.map { it.second }
        for ((index, request) in sent) {
            val first = system.order(index, request)
            expectEqual("status of an order at ${system.instances[index].label}", DaemonSystem.OK, first.status)
            val other = (index + 1) % ALL.size
            expectEqual("the outcome at ${system.instances[other].label}", "$first", "${system.order(other, request)}")
        }
        expect("each order to run once") {
            sent.associate { it.second to system.executions(it.second) }.filterValues { it != 1 }.toText()
        }
        return "orders=${sent.size} each sent twice, ran_twice=0"
    }

    /** The words of an answer follow from the request, so a stream has to carry those of the answer in one piece. */
    private fun streams(system: DaemonSystem): String {
        for (index in ALL) {
            val request = system.nextRequest()
            val stream = system.complete(index, request, "draft-reply", isStream = true).body
            val whole = system.complete((index + 1) % ALL.size, request, "draft-reply").json()
            val text =
                whole
                    .getValue("choices")
                    .jsonArray[0]
                    .jsonObject
                    .getValue("text")
                    .jsonPrimitive.content
            val streamed = TEXT.findAll(stream).joinToString("") { it.groupValues[1] }
            expectEqual("a whole stream at ${system.instances[index].label}", text, streamed)
            expectEqual("tokens of a stream", DaemonSystem.TOKENS, text.trim().split(' ').size)
            expect("the end mark of a stream") { if (END_MARK in stream) null else stream.takeLast(END_MARK.length) }
        }
        return "streams=${ALL.size}"
    }

    private fun drain(system: DaemonSystem): String {
        for (index in ALL) {
            val ordering = listOf(old, new)[index % 2]
            system.operate(ordering, index, "drain", "domain", DRAINED)
            awaitDrains(system, listOf(DRAINED))
            system.operate(ordering, index, "undrain", "domain", DRAINED)
            awaitDrains(system, emptyList())
        }
        return "failure_domain=$DRAINED through ${ALL.size} instances"
    }

    private fun awaitDrains(
        system: DaemonSystem,
        drained: List<String>,
    ) = ALL.forEach { index ->
        await("drains $drained at ${system.instances[index].label}") {
            system.drains(index).takeIf { it != drained }?.toString()
        }
    }

    /** Kills the leader, waits until another leads and the others serve orders, and starts it again. */
    private fun endLeader(system: DaemonSystem): Child {
        val lost = awaitLeader(system)
        lost.kill()
        awaitLeader(system)
        for (index in ALL.filter { system.instances[it].isAlive }) {
            await("an order at ${system.instances[index].label}") {
                val request = system.nextRequest().also { orders += it }
                system.order(index, request).takeIf { it.status != DaemonSystem.OK }?.toString()
            }
        }
        lost.restart()
        system.awaitReady()
        ALL.forEach(system::awaitUpstreams)
        return lost
    }

    private fun awaitLeader(system: DaemonSystem): Child {
        var leader: Child? = null
        await("an instance that leads the store") {
            leader = system.leader()
            if (leader == null) "none" else null
        }
        return checkNotNull(leader)
    }

    private fun Map<String, Int>.toText() = if (isEmpty()) null else toString()

    private companion object {
        val ALL = DaemonSystem.DOMAINS.indices.toList()
        const val DRAINED = "sofia-c"
        const val ORDERS = 10

        /** With two of three instances of the other build, this many elections in a row miss the wanted one rarely. */
        const val MAX_ENDED = 20
        const val END_MARK = "[DONE]"
        val TEXT = Regex("\"text\":\"([^\"]*)\"")
    }
}
