package samphirechute.bench.limits

import samphirechute.bench.limits.LimitsAction.Kind
import samphirechute.bench.system.Child
import samphirechute.bench.system.pause
import java.util.Locale
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A fault of [target], which is the name of a process or an upstream. */
internal class Fault(
    val target: String,
    val text: String,
    val fromMs: Long,
) {
    /** Later than any other time while the fault lasts. */
    @Volatile var untilMs = Long.MAX_VALUE / 2

    override fun toString() = "%.3f_%s".format(Locale.ROOT, fromMs / 1_000.0, text)
}

/** Carries out a plan on the running system. A process that has a fault gets no other one until it has ended. */
internal class LimitsFaults(
    private val system: LimitsSystem,
    private val clock: RunClock,
    actions: List<LimitsAction>,
) : AutoCloseable {
    private val timer = Executors.newScheduledThreadPool(THREADS) { Thread(it).apply { isDaemon = true } }
    private val busy = ConcurrentHashMap.newKeySet<String>()
    val all = ConcurrentLinkedQueue<Fault>()

    init {
        for (action in actions) timer.schedule({ run(action) }, action.atMs - clock.nowMs(), TimeUnit.MILLISECONDS)
    }

    /** Waits until faults that last have ended. */
    override fun close() {
        timer.shutdown()
        timer.awaitTermination(END_SECONDS, TimeUnit.SECONDS)
    }

    private fun run(action: LimitsAction) {
        val target = action.target
        when (action.kind) {
            Kind.NAME_LIMIT -> system.upstreams[target].name(action.perS)
            Kind.RESTART_UPSTREAM -> restart(system.upstreams[target], action.durationMs)
            Kind.KILL_LEADER -> kill(listOfNotNull(system.leader()), action.durationMs, "_leader")
            Kind.KILL_CONTROL -> kill(listOf(system.controls[target]), action.durationMs)
            Kind.KILL_ALL_CONTROLS -> kill(system.controls, action.durationMs)
            Kind.KILL_ENTRY -> kill(listOf(system.entries[target]), action.durationMs)
            Kind.FREEZE_CONTROL -> freeze(system.controls[target], action.durationMs)
            Kind.FREEZE_ENTRY -> freeze(system.entries[target], action.durationMs)
        }
    }

    private fun restart(
        upstream: LimitedUpstream,
        durationMs: Long,
    ) = during(listOf(upstream.place.id), "restart") { upstream.restart(durationMs) }

    private fun kill(
        targets: List<Child>,
        durationMs: Long,
        suffix: String = "",
    ) {
        val free = targets.filter { it.shortName !in busy }
        during(free.map { it.shortName }, "kill$suffix") {
            free.forEach { it.kill() }
            pause(durationMs)
            free.forEach { it.restart() }
        }
    }

    private fun freeze(
        target: Child,
        durationMs: Long,
    ) = during(listOf(target.shortName), "freeze") {
        target.signal("STOP")
        pause(durationMs)
        target.signal("CONT")
    }

    private fun during(
        targets: List<String>,
        text: String,
        action: () -> Unit,
    ) {
        val taken = targets.filter(busy::add)
        if (taken.size == targets.size) {
            val faults = targets.map { Fault(it, "${text}_$it", clock.nowMs()) }
            all += faults
            action()
            faults.forEach { it.untilMs = clock.nowMs() }
        }
        busy -= taken.toSet()
    }

    private val Child.shortName get() = name.removePrefix("l-")

    private companion object {
        const val THREADS = 6
        const val END_SECONDS = 30L
    }
}
