package samphirechute.state.disk

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
 * After any error no further write is accepted, because a failed sync may have dropped data that a later sync would
 * report as durable.
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

    /** Makes all of [writes] durable, in order. Throws [DiskError]; every later call then throws the same error. */
    fun write(writes: List<DiskWrite>) {
        failure?.let { throw it }
        try {
            var group = ArrayList<DiskWrite>()
            for (write in writes) {
                if (write.snapshot == null) {
                    group += write
                } else {
                    append(group)
                    group = ArrayList()
                    startGeneration(write.snapshot, write)
                }
            }
            append(group)
        } catch (e: IOException) {
            val error = e as? DiskError ?: DiskError.WriteRefused(folder.path, folder.step(step, stepBytes), e)
            failure = error
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
        if (group.isEmpty()) return
        val record = encode(LogRecord.serializer(), LogRecord(group.map { it.toChange() }))
        step = "append"
        stepBytes = record.size.toLong()
        file.append(record)
        syncing(folder, step, stepBytes) { file.sync() }
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
        writeSnapshot(folder, next, state)
        writeLog(folder, next, LogRecord(listOf(write.toChange().copy(truncateFrom = null))))
        file.close()
        file = folder.append(logName(next))
        folder.delete(logName(generation))
        if (generation > 0) folder.delete(snapshotName(generation))
        generation = next
    }

    companion object {
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
         * lost. Files left over from an interrupted snapshot are deleted before the log is read.
         */
        private fun openLocked(
            folder: Folder,
            lock: AutoCloseable,
            newDiskId: () -> String,
        ): StoreDisk {
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
            return StoreDisk(folder, lock, diskId, restored, current, folder.append(logName(current)))
        }
    }
}
