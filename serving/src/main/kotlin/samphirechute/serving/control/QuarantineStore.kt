package samphirechute.serving.control

import samphirechute.core.RequestTrait
import samphirechute.core.time.Clock
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.QuarantineState
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.state.command.Command
import samphirechute.state.store.QuarantineRecord
import samphirechute.state.store.StoreState

/**
 * Keeps the quarantines of prompts in the replicated log, so that they outlive a loss of power of all instances. The
 * control instance calls it when the log or a quarantine has changed; only the leader writes.
 */
internal class QuarantineStore(
    private val clock: Clock,
    private val registry: QuarantineRegistry,
    private val propose: (Command, onResult: (isCommitted: Boolean) -> Unit) -> Unit,
) {
    /** What has been proposed and not been decided yet. */
    private val proposed = HashSet<Command>()

    /** What has been taken over, which is not done twice, since the registry may have dropped it since then. */
    private var restored = emptyMap<Set<RequestTrait>, QuarantineRecord>()

    /** Takes over what the log holds and, with [mayWrite], proposes what it does not hold. */
    fun synchronize(
        state: StoreState,
        mayWrite: Boolean,
    ) {
        val recorded = state.quarantines.values.filter { restored[it.traits] != it }
        restored = state.quarantines
        registry.restore(recorded.map { toQuarantine(it, state.atMs) })
        if (mayWrite) registry.quarantines().forEach { write(it, state.quarantines[it.traits]) }
    }

    private fun write(
        quarantine: Quarantine,
        recorded: QuarantineRecord?,
    ) {
        if (recorded != null && !quarantine.isNewerThan(recorded.round, recorded.probes)) return
        val command = toCommand(quarantine)
        if (proposed.add(command)) propose(command) { proposed -= command }
    }

    private fun toCommand(quarantine: Quarantine) =
        Command.RecordQuarantine(
            quarantine.traits,
            quarantine.isActive,
            quarantine.round,
            quarantine.probes,
            quarantine.decidedBy,
        )

    private fun toQuarantine(
        record: QuarantineRecord,
        logTimeMs: Long,
    ) = Quarantine(
        record.traits,
        if (record.isActive) QuarantineState.ACTIVE else QuarantineState.LIFTED,
        record.round,
        crashes = emptyList(),
        record.decidedBy,
        clock.nowMs() - (logTimeMs - record.atMs),
        record.probes,
    )
}
