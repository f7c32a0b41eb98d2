package samphirechute.state.disk

import samphirechute.core.log.KeyValueLog
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import samphirechute.state.store.StoreState
import java.io.IOException

/**
 * Stores the log of one member in a [Folder]. A [DiskThread] calls [write]; [open] restores the log at a start.
 *
 * Generation n consists of the files `log-n` and `snapshot-n`, the state on which the log is based. A snapshot starts
 * the next generation and then deletes the previous one, so there are never more than two. `identity` contains the disk
 * identity, and `lock` prevents a second process from opening the folder.
 *
 * A write that the disk refuses, for example for lack of room, loses nothing that was confirmed: the log is cut back to
 * what is durable before the same writes are tried again. After a failed sync no further write is accepted, because data
 * that it covered may be lost although a later sync reports it as durable.
 */
class StoreDisk private constructor(
    private val folder: Folder,
    private val lock: AutoCloseable,
    /** Identifies this disk. A wiped folder gets a new identity. */
    val diskId: String,
    /** The contents of the disk when it was opened. */
    val restored: RestoredLog,
    private var generation: Long,
    private var file: AppendFile,
) : AutoCloseable {
    private var failure: DiskError? = null

    /** What is being written, for the error. */
    private var step = ""
    private var stepBytes = 0L

    /** The length of the log up to which everything is durable. */
    private var durableBytes = folder.size(logName(generation))

    /** True when bytes of a refused write may follow, which no valid record may follow. */
    private var isTorn = false

    /** Makes all of [writes] durable, in order. Throws [DiskError], as [writeNext] does. */
    fun write(writes: List<DiskWrite>) {
        var written = 0
        while (written < writes.size) written += writeNext(writes.subList(written, writes.size))
    }

    /**
     * Makes the first of [writes] durable, up to the next snapshot, and returns how many these were. After a
     * [DiskError.WriteRefused] none of them is, and the next call must begin with the same writes. Any other [DiskError]
     * is final: every later call throws the same error.
     */
    fun writeNext(writes: List<DiskWrite>): Int {
        failure?.let { throw it }
        val group = writes.takeWhile { it.snapshot == null }
        try {
            val snapshot = writes.first().snapshot
            if (snapshot == null) append(group) else startGeneration(snapshot, writes.first())
            return maxOf(1, group.size)
        } catch (e: IOException) {
            val error = e as? DiskError ?: DiskError.WriteRefused(folder.path, folder.step(step, stepBytes), e)
            if (error !is DiskError.WriteRefused) failure = error
            throw error
        }
    }

    override fun close() {
        try {
            file.close()
        } finally {
            lock.close()
        }
    }

    private fun append(group: List<DiskWrite>) {
        val record = encode(LogRecord.serializer(), LogRecord(group.map { it.toChange() }))
        step = "append"
        stepBytes = record.size.toLong()
        if (isTorn) file.truncate(durableBytes)
        isTorn = true
        file.append(record)
        try {
            syncing(folder, step, stepBytes) { file.sync() }
        } catch (e: DiskError.SyncFailed) {
            cutBack()
            throw e
        }
        isTorn = false
        durableBytes += record.size
    }

    /** Removes what a failed sync covered, since the next start would read it and a later sync would confirm it. */
    private fun cutBack() =
        try {
            file.truncate(durableBytes)
        } catch (e: IOException) {
            log.warn("disk_cut_back_failed", mapOf("folder" to folder.path, "reason" to (e.message ?: e)))
        }

    /**
     * Writes the snapshot before the log file, because the existence of a log file makes its generation the current
     * one. Deletes the previous generation last, so that a crash at any point leaves a complete generation.
     */
    private fun startGeneration(
        state: StoreState,
        write: DiskWrite,
    ) {
        val next = generation + 1
        step = "snapshot $next"
        stepBytes = 0
        try {
            writeSnapshot(folder, next, state)
            writeLog(folder, next, LogRecord(listOf(write.toChange().copy(truncateFrom = null))))
        } catch (e: IOException) {
            // After a failed sync the names may be durable or not, and the member stops.
            if (e !is DiskError.SyncFailed) deleteAllBut(generation)
            throw e
        }
        // From here on the new generation counts. If its log cannot be opened, the next attempt starts another one.
        generation = next
        durableBytes = folder.size(logName(next))
        isTorn = false
        file.close()
        file = folder.append(logName(next))
        deleteAllBut(next)
    }

    /** Frees the room that other generations take. What cannot be deleted now is deleted at the next start. */
    private fun deleteAllBut(current: Long) =
        try {
            deleteLeftovers(folder, current)
        } catch (e: IOException) {
            log.warn("disk_cleanup_failed", mapOf("folder" to folder.path, "reason" to (e.message ?: e)))
        }

    companion object {
        private val log = KeyValueLog("store")

        /**
         * Opens the log as [open] does, and again after each [wait] while the disk has no room for what the start has to
         * write. Any other error is thrown, since waiting would hide a disk that cannot be read.
         */
        fun openWhenRoom(
            folder: () -> Folder,
            newDiskId: () -> String,
            wait: () -> Unit,
        ): StoreDisk {
            var refusals = 0
            while (true) {
                try {
                    return open(folder(), newDiskId)
                        .also { if (refusals > 0) log.event("disk_accepts", mapOf("attempts" to refusals)) }
                } catch (e: IOException) {
                    if (!DiskError.isNoRoom(e)) throw e
                    if (refusals++ == 0) log.warn("disk_refused", mapOf("reason" to e.message, "waiting" to "start"))
                    wait()
                }
            }
        }

        /** Opens the log, or creates one with the identity from [newDiskId]. Throws [DiskError]. */
        fun open(
            folder: Folder,
            newDiskId: () -> String,
        ): StoreDisk {
            val lock = folder.lock(LOCK_FILE) ?: throw DiskError.Locked(folder.path)
            return try {
                openLocked(folder, lock, newDiskId)
            } catch (e: IOException) {
                lock.close()
                throw e as? DiskError ?: DiskError.WriteRefused(folder.path, folder.step("start", 0), e)
            }
        }

        /**
         * Creates the first log before the identity, so that an identity without a log always means that the log is
         * lost. Files left over from an interrupted snapshot are deleted before the log is read. What an ended process
         * left is made durable first, because a loss of power could otherwise take back the name of a log and keep a
         * later change that relies on it.
         */
        private fun openLocked(
            folder: Folder,
            lock: AutoCloseable,
            newDiskId: () -> String,
        ): StoreDisk {
            syncing(folder, "names", 0) { folder.sync() }
            val generation = folder.list().mapNotNull(::generationOf).maxOrNull()
            val current = generation ?: 0
            val hasIdentity = IDENTITY_FILE in folder.list()
            if (generation == null) {
                if (hasIdentity) {
                    throw DiskError.Missing(
                        logName(0),
                        "the log of this disk identity is lost; wipe the folder to start anew",
                    )
                }
                writeLog(folder, 0, LogRecord(emptyList()))
            }
            val diskId = if (hasIdentity) readIdentity(folder) else writeIdentity(folder, current, newDiskId())
            deleteLeftovers(folder, current)
            val restored = readLog(folder, current, readSnapshot(folder, current))
            val file = folder.append(logName(current))
            // A process that ended before the sync may have left records that are not durable yet.
            syncing(folder, "restored log", folder.size(logName(current))) { file.sync() }
            return StoreDisk(folder, lock, diskId, restored, current, file)
        }
    }
}
