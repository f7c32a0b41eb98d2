package samphirechute.state.drain

import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import kotlin.random.Random

/**
 * Tracks what is out of service, as one instance knows it. Every instance has one, inside its
 * [samphirechute.state.sync.SyncNode].
 *
 * It owns the latest committed record and an overlay: drain orders that this record does not contain yet. The overlay
 * can only take targets out of service; only a committed record brings one back. Nothing here depends on whether an
 * instance can be reached, so a partition is never mistaken for a drain.
 */
class DrainTracker(
    private val random: Random,
) {
    /** The committed record with the highest version known here. */
    var record = DrainRecord()
        private set

    private val overlay = LinkedHashMap<OperationId, OverlayEntry>()
    private val attempts = mutableMapOf<OperationId, Attempt>()
    private val pendingUndrains = LinkedHashMap<OperationId, Undrain>()
    private var reportedTargets = emptySet<DrainTarget>()
    private var evictedVersion = 0L

    /** The overlay entries to send to other instances, committed ones included. */
    val entries: Collection<OverlayEntry> get() = overlay.values

    /** Changes whenever [entries] does, and is equal on instances with equal entries, whatever their order. */
    val entriesHash: Int get() = overlay.values.toSet().hashCode()

    /** Everything that is out of service. */
    val targets: Set<DrainTarget> get() = record.targets + overlay.values.filter { it.isInForce }.map { it.target }

    /** Drain orders that are not known to be committed. */
    val pending: List<OverlayEntry> get() = overlay.values.filter { it.committedVersion == null }

    /**
     * Applies one input and returns what the caller must do. Commands that are due are committed after the input is
     * applied, so that an order given now is committed at once.
     */
    fun handle(
        input: DrainInput,
        nowMs: Long,
    ): List<DrainOutput> {
        val outputs = mutableListOf<DrainOutput>()
        when (input) {
            DrainInput.Ticked -> {}

            is DrainInput.Ordered -> {
                if (input.operationId !in overlay) {
                    putEntry(OverlayEntry(input.operationId, input.target), nowMs, outputs)
                }
            }

            is DrainInput.UndrainOrdered -> {
                pendingUndrains.getOrPut(input.operationId) { Undrain(input.target, Attempt(nowMs)) }
            }

            is DrainInput.RecordLearned -> {
                applyRecord(input.record, outputs)
            }

            is DrainInput.EntriesLearned -> {
                input.entries.forEach { mergeEntry(it, nowMs, outputs) }
            }

            is DrainInput.CommandCommitted -> {
                onCommandCommitted(input, outputs)
            }

            is DrainInput.CommitFailed -> {
                val attempt = attempts[input.operationId] ?: pendingUndrains[input.operationId]?.attempt
                attempt?.dueMs = nowMs + retryDelayMs()
            }
        }
        commitDue(nowMs, outputs)
        val current = targets
        if (current != reportedTargets) outputs += DrainOutput.Changed(current)
        reportedTargets = current
        return outputs
    }

    private fun applyRecord(
        learned: DrainRecord,
        outputs: MutableList<DrainOutput>,
    ) {
        if (learned.version <= record.version) return
        record = learned
        outputs += DrainOutput.Propagate
    }

    private fun mergeEntry(
        entry: OverlayEntry,
        nowMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        val known = overlay[entry.operationId]
        val isEvicted = known == null && entry.committedVersion != null && entry.committedVersion <= evictedVersion
        if (isEvicted) return
        if (known != null && (known.committedVersion != null || entry.committedVersion == null)) return
        // The instance that received the order commits it. The others commit it only if that has not happened in time.
        putEntry(entry, nowMs + LEARNED_COMMIT_DELAY_MS + random.nextLong(LEARNED_COMMIT_DELAY_MS), outputs)
    }

    private fun onCommandCommitted(
        input: DrainInput.CommandCommitted,
        outputs: MutableList<DrainOutput>,
    ) {
        val entry = overlay[input.operationId]
        if (entry != null && entry.committedVersion == null) {
            putEntry(entry.copy(committedVersion = input.drainVersion), 0, outputs)
        }
        if (pendingUndrains.remove(input.operationId) != null) {
            outputs += DrainOutput.UndrainCommitted(input.operationId, input.drainVersion)
        }
    }

    private fun putEntry(
        entry: OverlayEntry,
        commitMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        overlay[entry.operationId] = entry
        if (entry.committedVersion == null) {
            attempts[entry.operationId] = Attempt(commitMs)
        } else {
            attempts -= entry.operationId
        }
        evictOldest()
        outputs += DrainOutput.Propagate
    }

    /**
     * Drops the committed entry with the lowest version when there are too many. The version decides, not the time of
     * arrival, so that instances that learned the entries in a different order keep the same ones.
     */
    private fun evictOldest() {
        if (overlay.size <= MAX_ENTRIES) return
        val oldest =
            overlay.values.filter { it.committedVersion != null && !it.isInForce }.minByOrNull {
                it.committedVersion
                    ?: 0
            }
        if (oldest == null) return
        overlay -= oldest.operationId
        evictedVersion = maxOf(evictedVersion, oldest.committedVersion ?: 0)
    }

    /**
     * Commits drains before undrains, and an undrain only when no drain of its target is pending, so that no earlier
     * order takes the target out of service again.
     */
    private fun commitDue(
        nowMs: Long,
        outputs: MutableList<DrainOutput>,
    ) {
        for ((operationId, attempt) in attempts) {
            if (nowMs < attempt.dueMs) continue
            attempt.dueMs = nowMs + COMMIT_TIMEOUT_MS + retryDelayMs()
            outputs += DrainOutput.Commit(Command.SetDrain(operationId, overlay.getValue(operationId).target, true))
        }
        for ((operationId, undrain) in pendingUndrains) {
            if (nowMs < undrain.attempt.dueMs || pending.any { it.target == undrain.target }) continue
            undrain.attempt.dueMs = nowMs + COMMIT_TIMEOUT_MS + retryDelayMs()
            outputs += DrainOutput.Commit(Command.SetDrain(operationId, undrain.target, false))
        }
    }

    private fun retryDelayMs() = random.nextLong(MIN_RETRY_MS, MAX_RETRY_MS)

    private val OverlayEntry.isInForce: Boolean get() = committedVersion == null || committedVersion > record.version

    private class Attempt(
        var dueMs: Long,
    )

    private class Undrain(
        val target: DrainTarget,
        val attempt: Attempt,
    )

    private companion object {
        /** An instance commits an order that another one received after one to two times this delay. */
        const val LEARNED_COMMIT_DELAY_MS = 3_000L

        /** A command without a result after this time, plus a random delay, is sent again. */
        const val COMMIT_TIMEOUT_MS = 2_000L

        /** Limits of the random delay before a command is sent again. */
        const val MIN_RETRY_MS = 500L
        const val MAX_RETRY_MS = 1_500L

        /**
         * The limit above which committed entries are dropped. An instance that is cut off until its entry is dropped
         * elsewhere drains the target again, until its command returns the version of the first commit.
         */
        const val MAX_ENTRIES = 256
    }
}
