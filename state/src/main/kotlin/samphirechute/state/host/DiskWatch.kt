package samphirechute.state.host

import samphirechute.core.log.KeyValueLog
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.RaftNode

/** Logs which disks of the store confirm no writes for longer than [SILENCE_MS], and when they confirm again. */
internal class DiskWatch {
    private val silentSinceMs = HashMap<DiskIdentity, Long>()

    fun tick(
        node: RaftNode,
        nowMs: Long,
    ) {
        val unconfirmed = node.unconfirmedDisks()
        for ((disk, sinceMs) in unconfirmed) {
            if (nowMs - sinceMs < SILENCE_MS || disk in silentSinceMs) continue
            silentSinceMs[disk] = sinceMs
            log.warn("disk_silent", fields(disk, node) + mapOf("silent_ms" to nowMs - sinceMs))
        }
        val ended = silentSinceMs.filter { (disk, sinceMs) -> unconfirmed[disk] != sinceMs }
        for ((disk, sinceMs) in ended) {
            silentSinceMs -= disk
            log.event("disk_silence_ended", fields(disk, node) + mapOf("after_ms" to nowMs - sinceMs))
        }
    }

    private fun fields(
        disk: DiskIdentity,
        node: RaftNode,
    ) = mapOf("instance" to disk.instance, "disk" to disk.diskId, "leads" to node.isLeader, "term" to node.term)

    private companion object {
        /** Several times what a write and a sync take on a slow disk. */
        const val SILENCE_MS = 1_000L
        val log = KeyValueLog("store")
    }
}
