package samphirechute.state.sim

import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import kotlin.random.Random

/** What a simulated member keeps its log on. */
internal interface SimDisk {
    /** Makes [write] durable, or throws. */
    fun write(write: DiskWrite)

    /** Power is lost while [pending] are under way. */
    fun crash(
        pending: List<DiskWrite>,
        random: Random,
    )

    fun restore(): RestoredLog
}

/** Keeps the durable log as values; fast enough for thousands of schedules. */
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
