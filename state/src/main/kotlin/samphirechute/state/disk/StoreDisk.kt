package samphirechute.state.disk

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RestoredLog
import samphirechute.state.store.SnapshotPart
import samphirechute.state.store.StoreState
import samphirechute.state.store.plus
import samphirechute.state.store.snapshotParts
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
            val error = e as? DiskError ?: DiskError.WriteFailed(folder.path, e)
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
        file.append(encode(LogRecord.serializer(), LogRecord(group.map { it.toChange() })))
        file.sync()
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
                throw e as? DiskError ?: DiskError.WriteFailed(folder.path, e)
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

private const val LOCK_FILE = "lock"
private const val IDENTITY_FILE = "identity"
private const val LOG_PREFIX = "log-"
private const val SNAPSHOT_PREFIX = "snapshot-"
private const val TEMPORARY_SUFFIX = ".tmp"
private val json = Json { encodeDefaults = false }

private fun logName(generation: Long) = "$LOG_PREFIX$generation"

private fun snapshotName(generation: Long) = "$SNAPSHOT_PREFIX$generation"

private fun generationOf(name: String) =
    if (name.startsWith(LOG_PREFIX)) name.removePrefix(LOG_PREFIX).toLongOrNull() else null

private fun <T> encode(
    serializer: KSerializer<T>,
    value: T,
) = encodeRecord(json.encodeToString(serializer, value).encodeToByteArray())

private fun <T> decode(
    serializer: KSerializer<T>,
    payload: ByteArray,
    file: String,
    offset: Long,
): T =
    try {
        json.decodeFromString(serializer, payload.decodeToString())
    } catch (e: SerializationException) {
        throw DiskError.Corrupt(file, offset, "the record cannot be decoded: ${e.message}")
    }

/** Writes a file under a temporary name and renames it once it is complete and durable. */
private fun writeFile(
    folder: Folder,
    name: String,
    write: (AppendFile) -> Unit,
) {
    val temporary = name + TEMPORARY_SUFFIX
    if (temporary in folder.list()) folder.delete(temporary)
    folder.append(temporary).use {
        write(it)
        it.sync()
    }
    folder.rename(temporary, name)
    folder.sync()
}

private fun writeLog(
    folder: Folder,
    generation: Long,
    first: LogRecord,
) = writeFile(folder, logName(generation)) { it.append(encode(LogRecord.serializer(), first)) }

private fun writeSnapshot(
    folder: Folder,
    generation: Long,
    state: StoreState,
) = writeFile(folder, snapshotName(generation)) { file ->
    var parts = 0
    state.snapshotParts().forEach {
        file.append(encode(SnapshotPart.serializer(), it))
        parts++
    }
    file.append(encode(SnapshotEnd.serializer(), SnapshotEnd(parts)))
}

private fun readSnapshot(
    folder: Folder,
    generation: Long,
): StoreState {
    if (generation == 0L) return StoreState()
    val name = snapshotName(generation)
    val path = "${folder.path}/$name"
    if (name !in folder.list()) throw DiskError.Missing(path, "it is the snapshot on which the log is based")
    var state = StoreState()
    var parts = 0
    folder.read(name).use { input ->
        val records = readRecords(path, input).iterator()
        while (records.hasNext()) {
            val payload = records.next()
            if (records.hasNext()) {
                state = state.plus(decode(SnapshotPart.serializer(), payload, path, 0))
                parts++
            } else {
                val end = decode(SnapshotEnd.serializer(), payload, path, 0)
                if (end.parts != parts) throw DiskError.Corrupt(path, 0, "${end.parts} parts expected, $parts found")
                return state
            }
        }
    }
    throw DiskError.Corrupt(path, 0, "the file is empty")
}

/** Reads the log and truncates a torn last record, which was never acknowledged. */
private fun readLog(
    folder: Folder,
    generation: Long,
    state: StoreState,
): RestoredLog {
    val name = logName(generation)
    val path = "${folder.path}/$name"
    val bytes = folder.read(name).use { it.readAllBytes() }
    val builder = LogBuilder(RestoredLog(state = state))
    var offset = 0
    while (offset < bytes.size) {
        when (val record = scanRecord(bytes, offset)) {
            is ScannedRecord.Valid -> {
                val changes = decode(LogRecord.serializer(), record.payload, path, offset.toLong()).changes
                if (!changes.all(
                        builder::add,
                    )
                ) {
                    throw DiskError.Corrupt(path, offset.toLong(), "an entry does not follow the previous one")
                }
                offset += HEADER_BYTES + record.payload.size
            }

            is ScannedRecord.Damaged -> {
                // The first record cannot be torn: it was durable before the file was renamed to its final name.
                val isTorn = offset > 0 && findRecordAfter(bytes, offset) == null
                if (!isTorn) throw DiskError.Corrupt(path, offset.toLong(), record.problem)
                folder.truncate(name, offset.toLong())
                break
            }
        }
    }
    if (offset == 0) throw DiskError.Corrupt(path, 0, "the file is empty")
    return builder.build()
}

private fun readIdentity(folder: Folder): String {
    val text = folder.read(IDENTITY_FILE).use { it.readAllBytes().decodeToString() }.trim()
    if (text.isEmpty()) throw DiskError.Corrupt("${folder.path}/$IDENTITY_FILE", 0, "the file is empty")
    return text
}

/** Accepts a log without an identity only if it is empty, left over from an interrupted first start. */
private fun writeIdentity(
    folder: Folder,
    generation: Long,
    diskId: String,
): String {
    val isUnused = generation == 0L && readLog(folder, 0, StoreState()) == RestoredLog()
    if (!isUnused) throw DiskError.Missing("${folder.path}/$IDENTITY_FILE", "the log belongs to an unknown disk")
    writeFile(folder, IDENTITY_FILE) { it.append(diskId.encodeToByteArray()) }
    return diskId
}

private fun deleteLeftovers(
    folder: Folder,
    generation: Long,
) {
    val kept = setOf(LOCK_FILE, IDENTITY_FILE, logName(generation), snapshotName(generation))
    folder.list().filter { it !in kept && isStoreFile(it) }.forEach(folder::delete)
    folder.sync()
}

private fun isStoreFile(name: String) =
    name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX) || name == IDENTITY_FILE + TEMPORARY_SUFFIX
