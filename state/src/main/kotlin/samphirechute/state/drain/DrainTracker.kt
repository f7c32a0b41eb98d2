package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import kotlin.random.Random

/**
 * What is out of service, as one instance knows it: the committed record, and an overlay of orders that are not
 * known to be in it. The overlay only takes out. Nothing here depends on whether an instance can be reached, so a
 * partition never looks like a drain.
 */
class DrainTracker(
    private val random: Random,
) {
    /** The highest committed record that is known here. */
    var record = DrainRecord()
        private set

    private val overlay = LinkedHashMap<OperationId, OverlayEntry>()
    private val attempts = mutableMapOf<OperationId, Attempt>()
    private val undrains = LinkedHashMap<OperationId, Undrain>()
    private var reported = emptySet<DrainTarget>()
    private var forgottenVersion = 0L

    /** The overlay entries to tell other instances, settled ones included. */
    val entries: Collection<OverlayEntry> get() = overlay.values

    /** Changes whenever [entries] does, and is equal on instances with equal entries. */
    val entriesHash: Int get() = overlay.values.toSet().hashCode()

    /** Everything that is out of service. */
    val targets: Set<DrainTarget> get() = record.targets + overlay.values.filter { it.isInForce }.map { it.target }

    /** Orders that the log does not have yet, as far as is known here. */
    val pending: List<OverlayEntry> get() = overlay.values.filter { it.settledVersion == null }

    fun handle(
        input: DrainInput,
        nowMs: Long,
    ): List<DrainOutput> {
        val outputs = mutableListOf<DrainOutput>()
        when (input) {
            DrainInput.Ticked -> {}

            is DrainInput.Ordered -> {
                if (input.operationId !in overlay) {
                    put(OverlayEntry(input.operationId, input.target), nowMs, outputs)
                }
            }

            is DrainInput.UndrainOrdered -> {
                undrains.getOrPut(input.operationId) { Undrain(input.target, Attempt(nowMs)) }
            }

            is DrainInput.RecordLearned -> {
                learn(input.record, outputs)
            }

            is DrainInput.EntriesLearned -> {
                input.entries.forEach { merge(it, nowMs, outputs) }
            }

            is DrainInput.CommandCommitted -> {
                settle(input, outputs)
            }

            is DrainInput.CommitFailed -> {
                val attempt = attempts[input.operationId] ?: undrains[input.operationId]?.attempt
                attempt?.dueMs = nowMs + retryDelayMs()
            }
        }
        commitDue(nowMs, outputs)
        val current = targets
        if (current != reported) outputs += DrainOutput.Changed(current)
        reported = current
        return outputs
    }

    private fun learn(
        learned: DrainRecord,
        outputs: MutableList<DrainOutput>,
    ) {
        if (learned.version <= record.version) return
        record = learned
        outputs += DrainOutput.Spread
    }

    private fun merge(
        entry: OverlayEntry,
        nowMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        val own = overlay[entry.operationId]
        val isForgotten = own == null && entry.settledVersion != null && entry.settledVersion <= forgottenVersion
        if (isForgotten) return
        if (own != null && (own.settledVersion != null || entry.settledVersion == null)) return
        // The instance that was given the order commits it; the others do so only if it has not, in time.
        put(entry, nowMs + FOREIGN_COMMIT_DELAY_MS + random.nextLong(FOREIGN_COMMIT_DELAY_MS), outputs)
    }

    private fun settle(
        input: DrainInput.CommandCommitted,
        outputs: MutableList<DrainOutput>,
    ) {
        val entry = overlay[input.operationId]
        if (entry != null && entry.settledVersion == null) {
            put(entry.copy(settledVersion = input.drainVersion), 0, outputs)
        }
        if (undrains.remove(input.operationId) != null) {
            outputs += DrainOutput.UndrainCommitted(input.operationId, input.drainVersion)
        }
    }

    private fun put(
        entry: OverlayEntry,
        commitMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        overlay[entry.operationId] = entry
        if (entry.settledVersion == null) {
            attempts[entry.operationId] = Attempt(commitMs)
        } else {
            attempts -= entry.operationId
        }
        forgetOldest()
        outputs += DrainOutput.Spread
    }

    /** Forgets by version, so that instances that learned the entries in another order keep the same ones. */
    private fun forgetOldest() {
        if (overlay.size <= MAX_ENTRIES) return
        val oldest =
            overlay.values.filter { it.settledVersion != null && !it.isInForce }.minByOrNull {
                it.settledVersion
                    ?: 0
            }
        if (oldest == null) return
        overlay -= oldest.operationId
        forgottenVersion = maxOf(forgottenVersion, oldest.settledVersion ?: 0)
    }

    private fun commitDue(
        nowMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        for ((operationId, attempt) in attempts) {
            if (nowMs < attempt.dueMs) continue
            attempt.dueMs = nowMs + COMMIT_TIMEOUT_MS + retryDelayMs()
            outputs += DrainOutput.Commit(Command.SetDrain(operationId, overlay.getValue(operationId).target, true))
        }
        for ((operationId, undrain) in undrains) {
            if (nowMs < undrain.attempt.dueMs || pending.any { it.target == undrain.target }) continue
            undrain.attempt.dueMs = nowMs + COMMIT_TIMEOUT_MS + retryDelayMs()
            outputs += DrainOutput.Commit(Command.SetDrain(operationId, undrain.target, false))
        }
    }

    private fun retryDelayMs() = random.nextLong(MIN_RETRY_MS, MAX_RETRY_MS)

    private val OverlayEntry.isInForce: Boolean get() = settledVersion == null || settledVersion > record.version

    private class Attempt(
        var dueMs: Long,
    )

    private class Undrain(
        val target: DrainTarget,
        val attempt: Attempt,
    )

    private companion object {
        const val FOREIGN_COMMIT_DELAY_MS = 3_000L
        const val COMMIT_TIMEOUT_MS = 2_000L
        const val MIN_RETRY_MS = 500L
        const val MAX_RETRY_MS = 1_500L

        /** CommandCommitted entries kept. An instance cut off for longer than these last brings a drain back until it commits. */
        const val MAX_ENTRIES = 256
    }
}
