package samphirechute.state.disk

import java.io.IOException

/** The disk cannot provide or store the data of the log. The member must stop. */
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

    /** A write or a sync failed, for example because the disk is full. */
    class WriteFailed(
        folder: String,
        cause: IOException,
    ) : DiskError("write to folder $folder failed: ${cause.message ?: cause}", cause)
}
