package samphirechute.bench.limits

import samphirechute.bench.limits.LimitsAction.Kind
import samphirechute.bench.system.Fault
import samphirechute.bench.system.Faults
import samphirechute.bench.system.RunClock

/** Carries out a plan on the running system. */
internal class LimitsFaults(
    private val system: LimitsSystem,
    clock: RunClock,
    actions: List<LimitsAction>,
) : AutoCloseable {
    private val faults = Faults(clock, THREADS)
    val all: Collection<Fault> get() = faults.all

    init {
        for (action in actions) faults.schedule(action.atMs) { run(action) }
    }

    override fun close() = faults.close()

    private fun run(action: LimitsAction) {
        val target = action.target
        when (action.kind) {
            Kind.NAME_LIMIT -> system.upstreams[target].name(action.perS)
            Kind.RESTART_UPSTREAM -> restart(system.upstreams[target], action.durationMs)
            Kind.KILL_LEADER -> faults.kill(listOfNotNull(system.leader()), action.durationMs, "_leader")
            Kind.KILL_CONTROL -> faults.kill(listOf(system.controls[target]), action.durationMs)
            Kind.KILL_ALL_CONTROLS -> faults.kill(system.controls, action.durationMs)
            Kind.KILL_ENTRY -> faults.kill(listOf(system.entries[target]), action.durationMs)
            Kind.FREEZE_CONTROL -> faults.freeze(system.controls[target], action.durationMs)
            Kind.FREEZE_ENTRY -> faults.freeze(system.entries[target], action.durationMs)
        }
    }

    private fun restart(
        upstream: LimitedUpstream,
        durationMs: Long,
    ) = faults.during(listOf(upstream.place.id), "restart") { upstream.restart(durationMs) }

    private companion object {
        const val THREADS = 6
    }
}
