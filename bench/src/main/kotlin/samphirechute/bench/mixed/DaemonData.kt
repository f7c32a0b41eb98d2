package samphirechute.bench.mixed

import samphirechute.bench.system.Build
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.expect
import samphirechute.bench.system.expectEqual
import samphirechute.bench.system.label
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Part A: daemons of the new build on copies of the folders and settings that the old build leaves behind. */
internal class DaemonData(
    private val workspace: Workspace,
    private val checks: Checks,
    private val old: Build,
    private val new: Build,
) {
    /** What the old build has answered and what it leaves behind. */
    private class Left(
        val revision: Long,
        val request: String,
        val outcome: String,
        val documentPath: String,
        val document: String,
    )

    fun run() =
        DaemonSystem(workspace, "a", ALL.map { old }).use { system ->
            var left: Left? = null
            checks.check("A.old-writes") {
                val orders = AtomicInteger()
                left = write(system, orders)
                "revision=${left.revision} orders=$orders drained=$DRAINED snapshots=${snapshots(system)}/${ALL.size}"
            }
            left?.let { restarted(system, it) }
        }

    private fun write(
        system: DaemonSystem,
        orders: AtomicInteger,
    ): Left {
        system.startStandIn("application", 0, old)
        system.startStandIn("engine", 0, old)
        system.startStandIn("engine", 2, old)
        system.awaitReady()
        system.publish(old, 0)
        system.awaitUpstreams(0)
        val request = system.nextRequest()
        val outcome = system.order(0, request)
        expectEqual("status of an order", DaemonSystem.OK, outcome.status)
        val (path, document) = system.document(1)
        orderUntilSnapshots(system, orders)
        system.operate(old, 0, "drain", "domain", DRAINED)
        awaitDrains(system, listOf(DRAINED))
        val revision = system.revision(0)
        system.instances.forEach { expectEqual("${it.label} ends with status", 0, it.stop()) }
        return Left(revision, request, outcome.body, path, document)
    }

    private fun restarted(
        system: DaemonSystem,
        left: Left,
    ) {
        ALL.forEach { workspace.replaceByCopy(system.dataFolder(it)) }
        ALL.forEach { system.instances[it] = system.start(it, new) }
        if (!checks.check("A.ready") { system.awaitReady(SERVING).let { "instances=${SERVING.size}" } }) return
        checks.check("A.revision") {
            ALL.forEach { expectEqual("revision", left.revision, system.revision(it)) }
            "revision=${left.revision}"
        }
        checks.check("A.drained") {
            awaitDrains(system, listOf(DRAINED))
            await("${system.instances[2].label} to refuse as drained") {
                val ready = system.get(2, "/readyz")
                ready.takeIf { it.status != UNAVAILABLE || "drained" !in it.body }?.toString()
            }
            expectEqual(
                "status of an order at an instance that is drained",
                UNAVAILABLE,
                resend(system, left, 2).status,
            )
            "failure_domain=$DRAINED"
        }
        checks.check("A.resent-order") {
            SERVING.forEach { expectEqual("the outcome", "200 ${left.outcome}", "${resend(system, left, it)}") }
            expectEqual("executions", 1, system.executions(left.request))
            "executions=1 request=${left.request}"
        }
        checks.check("A.document") {
            ALL.forEach { expectEqual("the document", "200 ${left.document}", "${system.get(it, left.documentPath)}") }
            left.documentPath
        }
        checks.check("A.old-command-line") {
            val text = system.operate(old, 1, "status")
            val shown = REVISION.find(text)?.groupValues?.get(1)
            expect("a status with revision ${left.revision}") { text.takeIf { shown != "${left.revision}" } }
            "revision=$shown"
        }
        checks.check("A.undrain") {
            system.operate(new, 1, "undrain", "domain", DRAINED)
            awaitDrains(system, emptyList())
            system.awaitReady()
            expectEqual("the outcome", "200 ${left.outcome}", "${resend(system, left, 2)}")
            expectEqual("executions", 1, system.executions(left.request))
            "failure_domain=$DRAINED executions=1"
        }
        checks.check("A.new-requests") {
            system.awaitUpstreams(0)
            val request = system.nextRequest()
            expectEqual("status of an order", DaemonSystem.OK, system.order(0, request).status)
            expectEqual("executions", 1, system.executions(request))
            "executions=1 document=${system.document(2).first}"
        }
        checks.check("A.publish") {
            system.publish(new, 2)
            expectEqual("revision", left.revision + 1, system.revision(2))
            "revision=${left.revision + 1}"
        }
    }

    private fun resend(
        system: DaemonSystem,
        left: Left,
        index: Int,
    ) = system.order(index, left.request)

    /** Each order is two changes of the store, and a snapshot is due after 10,000 to 15,000 of them. */
    private fun orderUntilSnapshots(
        system: DaemonSystem,
        orders: AtomicInteger,
    ) {
        val untilNs = System.nanoTime() + SNAPSHOT_NS
        val workers = Executors.newFixedThreadPool(WORKERS)
        val work =
            Callable {
                while (System.nanoTime() < untilNs && snapshots(system) < ALL.size) {
                    val from = orders.getAndAdd(BATCH)
                    repeat(BATCH) { system.order(it % ALL.size, "a-load-${from + it}") }
                }
            }
        workers.invokeAll(List(WORKERS) { work }).forEach { it.get() }
        workers.shutdown()
    }

    private fun awaitDrains(
        system: DaemonSystem,
        drained: List<String>,
    ) = ALL.forEach { index ->
        await("drains $drained at ${system.instances[index].label}") {
            system.drains(index).takeIf { it != drained }?.toString()
        }
    }

    private fun snapshots(system: DaemonSystem) = Workspace.snapshots(ALL.map(system::dataFolder))

    private companion object {
        val ALL = DaemonSystem.DOMAINS.indices.toList()
        const val DRAINED = "sofia-c"

        /** The instances of the failure domains that are not drained. */
        val SERVING = ALL - 2
        const val UNAVAILABLE = 503
        const val WORKERS = 12
        const val BATCH = 30
        const val SNAPSHOT_NS = 90_000_000_000L
        val REVISION = Regex("revision +(\\d+)")
    }
}
