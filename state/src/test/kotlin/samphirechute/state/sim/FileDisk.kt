package samphirechute.state.sim

import samphirechute.state.disk.MemoryFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import kotlin.random.Random

/** Stores the log in its real file format, in a folder that loses unsynced data in a crash. */
internal class FileDisk : SimDisk {
    val folder = MemoryFolder()
    private var disk: StoreDisk? = null

    override fun write(write: DiskWrite) = checkNotNull(disk).write(listOf(write))

    /** Fails a pending write at a random point, so that only part of it may have reached the disk. */
    override fun crash(
        pending: List<DiskWrite>,
        random: Random,
    ) {
        val open = disk ?: return
        if (pending.isNotEmpty()) {
            folder.failing = listOf("append", "sync", "rename", "syncFolder").random(random) to random.nextInt(2)
            runCatching { open.write(pending.take(1)) }
        }
        folder.crash(random)
        disk = null
    }

    /** What could be restored after a loss of power at this moment, as read from the durable bytes alone. */
    fun durable(): RestoredLog = StoreDisk.open(folder.durableCopy()) { "unused" }.restored

    override fun restore(): RestoredLog = StoreDisk.open(folder) { "unused" }.also { disk = it }.restored
}
