package samphirechute.bench.mixed

import samphirechute.bench.system.Build
import samphirechute.bench.system.Child
import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.PlatformUpstream
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.expect
import samphirechute.bench.system.expectEqual
import samphirechute.bench.system.label
import samphirechute.platform.ControlApi

/** Part C: control and entry instances of both builds at once, while one of the old build leads and then one of the new. */
internal class MixedPlatform(
    private val workspace: Workspace,
    private val checks: Checks,
    private val old: Build,
    private val new: Build,
) {
    private var version = 0

    fun run() {
        val controls = listOf(old, old, new).shuffled(workspace.random)
        val entries = listOf(old, old, new, new).shuffled(workspace.random)
        PlatformSystem(workspace, "c", controls, entries).use { system ->
            val isStarted =
                checks.check("C.start") {
                    changeConfig(system, control = 0)
                    "controls=${controls.joinToString(",")} entries=${entries.joinToString(",")}"
                }
            if (isStarted) listOf(old, new).forEach { under(system, it) }
            checks.check("C.once") {
                expect("no order that ran twice") {
                    system.near.executions
                        .filterValues { it > 1 }
                        .toText()
                }
                "executions=${system.near.executions.size}"
            }
        }
    }

    private fun under(
        system: PlatformSystem,
        build: Build,
    ) {
        val name = "C.$build-leads"
        if (!checks.check(name) { lead(system, build) }) return
        val led = { part: String, action: () -> String ->
            checks.check("$name.$part") {
                action().also { expectEqual("a leader of build", build, system.leader()?.build) }
            }
        }
        led("orders") { orders(system) }
        led("streams") { streams(system) }
        led("change") {
            system.controls.indices.forEach { changeConfig(system, it) }
            "revision=$version at ${system.entries.size} entries"
        }
        led("drain") { drain(system) }
        checks.check("$name.loss") { loss(system) }
    }

    /** Ends the leader until one of [build] leads. */
    private fun lead(
        system: PlatformSystem,
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

    private fun orders(system: PlatformSystem): String {
        val sent =
            system.entries.indices.flatMap { entry ->
                List(ORDERS) {
                    val request = system.nextRequest()
                    val answer = system.send(entry, ORDER, request)
                    expectEqual("${system.entries[entry].label} to answer", "200 near-1 ran $request 1", "$answer")
                    request
                }
            }
        expect("each order to run once") {
            sent.associateWith { system.near.executions[it] ?: 0 }.filterValues { it != 1 }.toText()
        }
        return "orders=${sent.size} ran_twice=0"
    }

    private fun streams(system: PlatformSystem): String {
        for (entry in system.entries.indices) {
            repeat(STREAMS) {
                val answer = system.send(entry, "/stream/x")
                expect("a whole stream at ${system.entries[entry].label}") {
                    "$answer".takeIf { it != "200 ${PlatformUpstream.WHOLE_STREAM}" }
                }
            }
        }
        return "streams=${system.entries.size * STREAMS}"
    }

    private fun drain(system: PlatformSystem): String {
        for (control in system.controls.indices) {
            system.setDrained(control, isDrained = true)
            system.entries.indices.forEach { system.awaitStatus(it, FAR, PlatformProcesses.UNAVAILABLE) }
            system.entries.indices.forEach { system.awaitStatus(it, ORDER, PlatformProcesses.OK) }
            system.setDrained(control, isDrained = false)
            system.entries.indices.forEach { system.awaitStatus(it, FAR, PlatformProcesses.OK) }
        }
        return "failure_domain=${PlatformSystem.DRAINED} through ${system.controls.size} controls"
    }

    private fun loss(system: PlatformSystem): String {
        val lost = awaitLeader(system)
        endLeader(system)
        system.entries.indices.forEach { system.awaitStatus(it, ORDER, PlatformProcesses.OK) }
        changeConfig(system, system.controls.indexOf(lost))
        return "lost=${lost.label} leader=${awaitLeader(system).label} revision=$version"
    }

    /** Kills the leader, has the others serve until another leads, and starts it again. */
    private fun endLeader(system: PlatformSystem) {
        val lost = awaitLeader(system)
        lost.kill()
        awaitLeader(system)
        val survivor = system.controls.indexOfFirst { it.isAlive }
        system.putConfig(survivor, system.config(++version))
        system.awaitServed(version)
        lost.restart()
        await("the configuration at ${lost.label} after its start") {
            val read = system.operate(system.controls.indexOf(lost), "GET", ControlApi.CONFIG)
            read.takeIf { it.status != PlatformProcesses.OK || it.body != system.config(version) }?.toString()
        }
    }

    private fun changeConfig(
        system: PlatformSystem,
        control: Int,
    ) {
        system.putConfig(control, system.config(++version))
        system.awaitServed(version)
    }

    private fun awaitLeader(system: PlatformSystem): Child {
        await("a control instance that leads") { if (system.leader() == null) "none" else null }
        return checkNotNull(system.leader())
    }

    private fun Map<String, Int>.toText() = if (isEmpty()) null else toString()

    private companion object {
        const val ORDER = "/order/x"
        const val FAR = "/far/x"
        const val ORDERS = 25
        const val STREAMS = 3

        /** With two of three instances of the other build, this many elections in a row miss the wanted one rarely. */
        const val MAX_ENDED = 20
    }
}
