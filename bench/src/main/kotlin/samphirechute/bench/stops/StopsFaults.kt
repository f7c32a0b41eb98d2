package samphirechute.bench.stops

import samphirechute.bench.stops.StopsAction.Kind
import samphirechute.bench.system.Child
import samphirechute.bench.system.Fault
import samphirechute.bench.system.Faults
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import samphirechute.bench.system.shortName
import java.util.concurrent.ConcurrentLinkedQueue

/** Carries out a plan on the running system, and records each planned stop. */
internal class StopsFaults(
    private val system: StopsSystem,
    private val clock: RunClock,
    actions: List<StopsAction>,
) : AutoCloseable {
    private val faults = Faults(clock, THREADS)
    val all: Collection<Fault> get() = faults.all
    val stops = ConcurrentLinkedQueue<Stop>()

    init {
        for (action in actions) faults.schedule(action.atMs) { run(action) }
    }

    override fun close() = faults.close()

    fun disruptions(): List<Disruption> =
        faults.all.filter { it.kind in DISRUPTING }.map { Disruption(it.target, it.fromMs, it.untilMs) }

    private fun run(action: StopsAction) {
        val target = action.target
        when (action.kind) {
            Kind.STOP_ENTRY -> stop(system.entries[target], action)
            Kind.HANG_UP_ENTRY -> note(system.entries[target].shortName, "hup") { system.entries[target].signal("HUP") }
            Kind.KILL_ENTRY -> faults.kill(listOf(system.entries[target]), action.durationMs)
            Kind.FREEZE_ENTRY -> faults.freeze(system.entries[target], action.durationMs)
            Kind.KILL_CONTROL -> faults.kill(listOf(system.controls[target]), action.durationMs)
            Kind.FREEZE_CONTROL -> faults.freeze(system.controls[target], action.durationMs)
            Kind.RESTART_UPSTREAM -> restart(system.upstreams[target], action.durationMs)
            Kind.NEW_CONFIG -> note("config", "new") { system.putNextConfig(target) }
        }
    }

    private fun stop(
        entry: Child,
        action: StopsAction,
    ) = faults.during(listOf(entry.shortName), "term") {
        val atMs = clock.nowMs()
        action.second?.let { second ->
            // The instance is busy until it runs again, so the signal can only meet this stop or an instance that has ended.
            faults.schedule(atMs + second.afterMs) {
                if (entry.isAlive) note(entry.shortName, second.name.lowercase()) { entry.signal(second.name) }
            }
        }
        val status = entry.stop()
        stops += Stop(entry.shortName, atMs, clock.nowMs(), status)
        pause(action.durationMs.coerceAtLeast(SECOND_SIGNAL_LATEST_MS - (clock.nowMs() - atMs)))
        entry.restart()
    }

    private fun restart(
        upstream: StopsUpstream,
        durationMs: Long,
    ) = faults.during(listOf(upstream.place.id), "restart") { upstream.restart(durationMs) }

    /** Records what excuses nothing, whatever else happens to the target. */
    private fun note(
        target: String,
        kind: String,
        action: () -> Unit,
    ) {
        val fault = Fault(target, kind, clock.nowMs())
        faults.all += fault
        action()
        fault.untilMs = clock.nowMs()
    }

    private companion object {
        const val THREADS = 16
        const val SECOND_SIGNAL_LATEST_MS = 6_500L
        val DISRUPTING = setOf("kill", "freeze")
    }
}
