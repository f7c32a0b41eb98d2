package samphirechute.state.disk

import java.io.IOException

/** The disk cannot provide or store the data of the log. Except after [WriteRefused], the member must stop. */
sealed class DiskError(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause) {
    /** Another process has the folder open. */
    class Locked(
        folder: String,
    ) : DiskError("folder $folder is in use by another process")

    /** A durable record is damaged. It is not repaired, because an acknowledged entry may be lost. */
    class Corrupt(
        file: String,
        offset: Long,
        problem: String,
    ) : DiskError("file $file is corrupt at offset $offset: $problem")

    /** A required file does not exist. */
    class Missing(
        file: String,
        consequence: String,
    ) : DiskError("file $file is missing: $consequence")

    /** A write or a sync failed. [step] says what was being written. */
    sealed class WriteFailed(
        problem: String,
        folder: String,
        step: DiskStep,
        cause: IOException,
    ) : DiskError("$problem in folder $folder, $step: ${cause.message ?: cause}", cause)

    /** The disk did not take bytes, a file or a name, most often because it is full. It has not lost older data. */
    class WriteRefused(
        folder: String,
        step: DiskStep,
        cause: IOException,
    ) : WriteFailed(if (isNoRoom(cause)) "no room" else "write refused", folder, step, cause)

    /** A sync failed. Data that it covered may be lost although a later sync reports success. */
    class SyncFailed(
        folder: String,
        step: DiskStep,
        cause: IOException,
    ) : WriteFailed("sync failed", folder, step, cause)

    internal companion object {
        /** The texts of ENOSPC and EDQUOT, for which the JVM has no exception classes. */
        private val NO_ROOM = listOf("no space left on device", "disk quota exceeded")

        fun isNoRoom(cause: IOException) = NO_ROOM.any { it in cause.message.orEmpty().lowercase() }
    }
}

/** What was being written when the disk reported an error: [bytes] by [name], with [usableBytes] left in the folder. */
data class DiskStep(
    val name: String,
    val bytes: Long,
    val usableBytes: Long?,
) {
    override fun toString() = "$name of $bytes bytes, ${usableBytes ?: "unknown"} bytes usable"
}
