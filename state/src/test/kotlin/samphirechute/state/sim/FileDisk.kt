package samphirechute.state.sim

import samphirechute.state.disk.MemoryFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import kotlin.random.Random

/** The log in its real file format, on a folder that loses what was not synced. */
internal class FileDisk : SimDisk {
    val folder = MemoryFolder()
    private var disk: StoreDisk? = null

    override fun write(write: DiskWrite) = checkNotNull(disk).write(listOf(write))

    /** A write that is under way may have reached the disk in part. */
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

    override fun restore(): RestoredLog = StoreDisk.open(folder) { "unused" }.also { disk = it }.restored
}
