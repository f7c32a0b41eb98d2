package samphirechute.state.disk

import samphirechute.core.InstanceId
import samphirechute.state.command.Command
import samphirechute.state.command.TimedCommand
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.HardState
import samphirechute.state.raft.LogEntry
import samphirechute.state.raft.RestoredLog
import samphirechute.state.sim.ValueDisk
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Random writes in groups, refusals, kills and losses of power, against a log that is kept as values. */
class StoreDiskScheduleSpec {
    private class Schedule(
        private val random: Random,
    ) {
        private val folder = MemoryFolder()
        private var history = emptyList<DiskWrite>()
        private var confirmed = 0

        /** Returns what is wrong after some lives of one disk, or null. */
        fun violation(): String? {
            repeat(LIVES) { life ->
                live()
                val isPowerLost = random.nextBoolean()
                if (isPowerLost) folder.crash(random) else folder.endProcess()
                // A start that is cut short as well.
                if (random.nextBoolean()) {
                    endingAfter(random.nextInt(START_OPERATIONS)) { open().close() }
                    folder.crash(random)
                }
                val found = open().use { it.restored }
                val kept = (history.size downTo confirmed).firstOrNull { logAfter(it) == found }
                if (kept == null) return "life $life: $confirmed of ${history.size} writes were confirmed, found $found"
                history = history.take(kept)
                confirmed = kept
            }
            return null
        }

        private fun open() = StoreDisk.openWhenRoom({ folder }, { "disk-1" }, { folder.freeBytes = Long.MAX_VALUE })

        private fun live() =
            endingAfter(random.nextInt(LIFE_OPERATIONS)) {
                open().use { disk -> repeat(GROUPS) { writeGroup(disk) } }
            }

        private inline fun endingAfter(
            operations: Int,
            run: () -> Unit,
        ) {
            folder.operationsLeft = operations
            try {
                run()
            } catch (_: ProcessEnded) {
                // The operations of this process are used up.
            }
        }

        /** Writes as a [DiskThread] does with all that waits. */
        private fun writeGroup(disk: StoreDisk) {
            val first = history.size
            repeat(1 + random.nextInt(MAX_GROUP)) { history = history + nextWrite() }
            if (random.nextInt(REFUSAL_EVERY) == 0) folder.freeBytes = random.nextLong(MAX_FREE_BYTES)
            var rest = history.drop(first)
            while (rest.isNotEmpty()) {
                try {
                    rest = rest.drop(disk.writeNext(rest))
                    confirmed = history.size - rest.size
                } catch (_: DiskError.WriteRefused) {
                    folder.freeBytes = if (random.nextBoolean()) Long.MAX_VALUE else random.nextLong(MAX_FREE_BYTES)
                }
            }
        }

        private fun logAfter(writes: Int) = ValueDisk().also { history.take(writes).forEach(it::write) }.restore()

        private fun nextWrite(): DiskWrite {
            val log = logAfter(history.size)
            val term = log.hardState.term + 1
            val vote = HardState(term, DiskIdentity(InstanceId("a"), "d$term"))
            val base = log.state.index
            val last = base + log.entries.size
            return when (random.nextInt(KINDS)) {
                0 -> DiskWrite(0, vote)
                1 -> snapshot(log, random.nextLong(base, last + 1))
                2 -> if (last == base) DiskWrite(0, vote) else replacement(random.nextLong(base, last) + 1, term)
                3 -> DiskWrite(0, vote, entries = entries(last + 1, term))
                else -> DiskWrite(0, entries = entries(last + 1, term))
            }
        }

        private fun snapshot(
            log: RestoredLog,
            index: Long,
        ): DiskWrite {
            val (covered, later) = log.entries.partition { it.index <= index }
            val state = covered.fold(log.state) { state, it -> state.apply(it.index, it.timed, it.term).state }
            return DiskWrite(0, log.hardState, state, entries = later)
        }

        private fun replacement(
            from: Long,
            term: Long,
        ) = DiskWrite(0, truncateFrom = from, entries = entries(from, term))

        private fun entries(
            from: Long,
            term: Long,
        ) = (from..from + random.nextLong(MAX_ENTRIES)).map {
            LogEntry(it, term, TimedCommand(it, Command.AdoptConfig(it, "content $it of $term")))
        }
    }

    /** Guards against a record of several writes that is restored in part, in another order, or after it was replaced. */
    @Test
    fun `a disk restores a prefix of its writes with all that were confirmed`() {
        val violations =
            (1L..SEEDS).mapNotNull { seed ->
                Schedule(Random(seed)).violation()?.let { "seed $seed, $it" }
            }
        assertEquals(emptyList(), violations.take(3), "${violations.size} of $SEEDS seeds")
    }

    private companion object {
        const val SEEDS = 400L
        const val LIVES = 6
        const val LIFE_OPERATIONS = 90
        const val START_OPERATIONS = 12
        const val GROUPS = 12
        const val MAX_GROUP = 5
        const val MAX_ENTRIES = 3L
        const val KINDS = 6
        const val REFUSAL_EVERY = 4
        const val MAX_FREE_BYTES = 1_200L
    }
}
