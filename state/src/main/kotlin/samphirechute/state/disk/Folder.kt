package samphirechute.state.disk

import java.io.InputStream

/**
 * The few file operations that the log needs, on the files of one folder. Every function throws [java.io.IOException]
 * when the operation fails; what the file holds is then unknown.
 */
interface Folder {
    /** Names the folder in errors. */
    val path: String

    fun list(): List<String>

    fun size(name: String): Long

    fun read(name: String): InputStream

    /** Opens [name] for appending and creates it when it does not exist. */
    fun append(name: String): AppendFile

    fun truncate(
        name: String,
        length: Long,
    )

    fun rename(
        from: String,
        to: String,
    )

    fun delete(name: String)

    /** Makes the creation, renaming and deletion of files durable. */
    fun sync()

    /** Null when another process holds the lock. The lock ends with the process or when it is closed. */
    fun lock(name: String): AutoCloseable?
}

/** A file that only grows. */
interface AppendFile : AutoCloseable {
    fun append(bytes: ByteArray)

    /** Makes everything appended so far durable. */
    fun sync()
}
