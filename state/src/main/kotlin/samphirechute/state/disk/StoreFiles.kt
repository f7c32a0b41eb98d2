package samphirechute.state.disk

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import samphirechute.state.raft.RestoredLog
import samphirechute.state.store.SnapshotPart
import samphirechute.state.store.StoreState
import samphirechute.state.store.plus
import samphirechute.state.store.snapshotParts
import java.io.IOException

/*
 * The files of a [StoreDisk]: their names, and how each is written and read.
 */

internal const val LOCK_FILE = "lock"
internal const val IDENTITY_FILE = "identity"
private const val LOG_PREFIX = "log-"
private const val SNAPSHOT_PREFIX = "snapshot-"
private const val TEMPORARY_SUFFIX = ".tmp"
private val json = Json { encodeDefaults = false }

internal fun logName(generation: Long) = "$LOG_PREFIX$generation"

internal fun snapshotName(generation: Long) = "$SNAPSHOT_PREFIX$generation"

internal fun generationOf(name: String) =
    if (name.startsWith(LOG_PREFIX)) name.removePrefix(LOG_PREFIX).toLongOrNull() else null

internal fun <T> encode(
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
        val counted = CountingFile(it)
        naming(folder, name, counted) { write(counted) }
        syncing(folder, name, counted.bytes) { it.sync() }
    }
    folder.rename(temporary, name)
    syncing(folder, "name $name", 0) { folder.sync() }
}

private class CountingFile(
    private val file: AppendFile,
) : AppendFile by file {
    /** Includes the bytes of an append that failed. */
    var bytes = 0L
        private set

    override fun append(bytes: ByteArray) {
        this.bytes += bytes.size
        file.append(bytes)
    }
}

internal fun Folder.step(
    name: String,
    bytes: Long,
) = DiskStep(name, bytes, usableBytes)

private inline fun naming(
    folder: Folder,
    name: String,
    file: CountingFile,
    write: () -> Unit,
) = try {
    write()
} catch (e: IOException) {
    throw DiskError.WriteRefused(folder.path, folder.step(name, file.bytes), e)
}

internal inline fun syncing(
    folder: Folder,
    name: String,
    bytes: Long,
    sync: () -> Unit,
) = try {
    sync()
} catch (e: IOException) {
    throw DiskError.SyncFailed(folder.path, folder.step(name, bytes), e)
}

internal fun writeLog(
    folder: Folder,
    generation: Long,
    first: LogRecord,
) = writeFile(folder, logName(generation)) { it.append(encode(LogRecord.serializer(), first)) }

internal fun writeSnapshot(
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

internal fun readSnapshot(
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
internal fun readLog(
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

internal fun readIdentity(folder: Folder): String {
    val text = folder.read(IDENTITY_FILE).use { it.readAllBytes().decodeToString() }.trim()
    if (text.isEmpty()) throw DiskError.Corrupt("${folder.path}/$IDENTITY_FILE", 0, "the file is empty")
    return text
}

/** Accepts a log without an identity only if it is empty, left over from an interrupted first start. */
internal fun writeIdentity(
    folder: Folder,
    generation: Long,
    diskId: String,
): String {
    val isUnused = generation == 0L && readLog(folder, 0, StoreState()) == RestoredLog()
    if (!isUnused) throw DiskError.Missing("${folder.path}/$IDENTITY_FILE", "the log belongs to an unknown disk")
    writeFile(folder, IDENTITY_FILE) { it.append(diskId.encodeToByteArray()) }
    return diskId
}

internal fun deleteLeftovers(
    folder: Folder,
    generation: Long,
) {
    val kept = setOf(LOCK_FILE, IDENTITY_FILE, logName(generation), snapshotName(generation))
    folder.list().filter { it !in kept && isStoreFile(it) }.forEach(folder::delete)
}

private fun isStoreFile(name: String) =
    name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX) || name == IDENTITY_FILE + TEMPORARY_SUFFIX
