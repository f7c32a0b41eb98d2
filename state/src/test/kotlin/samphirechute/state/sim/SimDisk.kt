package samphirechute.state.sim

import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import kotlin.random.Random

/** The disk of a simulated member. */
internal interface SimDisk {
    /** Makes [write] durable, or throws an exception. */
    fun write(write: DiskWrite)

    /** Simulates a power loss during the writes [pending]. Any number of them, in order, may have become durable. */
    fun crash(
        pending: List<DiskWrite>,
        random: Random,
    )

    fun restore(): RestoredLog
}

/** Keeps the durable log as objects in memory, which is fast enough for thousands of schedules. */
internal class ValueDisk : SimDisk {
    private var durable = RestoredLog()

    override fun write(write: DiskWrite) {
        val hardState = write.hardState ?: durable.hardState
        val state = write.snapshot ?: durable.state
        val kept = if (write.snapshot != null) emptyList() else durable.entries
        val from = write.truncateFrom
        durable = RestoredLog(hardState, state, kept.filter { from == null || it.index < from } + write.entries)
    }

    override fun crash(
        pending: List<DiskWrite>,
        random: Random,
    ) = pending.take(random.nextInt(pending.size + 1)).forEach(::write)

    override fun restore() = durable
}
