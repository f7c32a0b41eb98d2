package samphirechute.state.disk

import java.io.InputStream

/**
 * The file operations that [StoreDisk] needs, on the files of one folder. Every function throws [java.io.IOException]
 * if the operation fails; the contents of the file are then unknown.
 */
interface Folder {
    /** The name of the folder in error messages. */
    val path: String

    /** The bytes that can still be written, for log lines only, or null if that is unknown. */
    val usableBytes: Long? get() = null

    fun list(): List<String>

    fun size(name: String): Long

    fun read(name: String): InputStream

    /** Opens [name] for appending and creates it if it does not exist. */
    fun append(name: String): AppendFile

    /** Cuts [name] to [length] bytes, without making that durable. */
    fun truncate(
        name: String,
        length: Long,
    )

    fun rename(
        from: String,
        to: String,
    )

    fun delete(name: String)

    /** Makes file creations, renames and deletions durable. */
    fun sync()

    /**
     * Locks the folder, or returns null if another process holds the lock. Closing the result or exiting releases it.
     */
    fun lock(name: String): AutoCloseable?
}

/** A file opened for appending. */
interface AppendFile : AutoCloseable {
    fun append(bytes: ByteArray)

    /** Cuts the file to [length] bytes, without making that durable. */
    fun truncate(length: Long)

    /** Makes everything appended so far durable. */
    fun sync()
}
