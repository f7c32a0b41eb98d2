package samphirechute.state.disk

import java.io.InputStream
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.WRITE
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.fileSize
import kotlin.io.path.inputStream
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.notExists

/** A folder in the file system, created durably if it does not exist. */
class NioFolder(
    private val root: Path,
) : Folder {
    override val path: String get() = root.toString()
    override val usableBytes: Long get() = root.toFile().usableSpace

    init {
        val missing = generateSequence(root.toAbsolutePath()) { it.parent }.takeWhile { it.notExists() }.toList()
        Files.createDirectories(root)
        // Without this, a loss of power may take a new folder with all that was synced in it.
        missing.forEach { syncNames(it.parent) }
    }

    override fun list(): List<String> = root.listDirectoryEntries().map { it.name }

    override fun size(name: String): Long = root.resolve(name).fileSize()

    override fun read(name: String): InputStream = root.resolve(name).inputStream().buffered()

    override fun append(name: String): AppendFile = NioAppendFile(FileChannel.open(root.resolve(name), CREATE, APPEND))

    override fun truncate(
        name: String,
        length: Long,
    ) {
        FileChannel.open(root.resolve(name), WRITE).use { it.truncate(length) }
    }

    override fun rename(
        from: String,
        to: String,
    ) {
        Files.move(root.resolve(from), root.resolve(to), ATOMIC_MOVE)
    }

    override fun delete(name: String) = Files.delete(root.resolve(name))

    override fun sync() = syncNames(root)

    override fun lock(name: String): AutoCloseable? {
        // Closing any channel of a file gives up all locks of the process on it, so a locked file is not opened again.
        val key = root.toAbsolutePath().normalize().resolve(name)
        if (!lockedFiles.add(key)) return null
        var channel: FileChannel? = null
        try {
            channel = openLocked(root.resolve(name))
        } finally {
            if (channel == null) lockedFiles.remove(key)
        }
        return channel?.let {
            AutoCloseable {
                it.close()
                lockedFiles.remove(key)
            }
        }
    }

    private fun openLocked(file: Path): FileChannel? {
        val channel = FileChannel.open(file, CREATE, WRITE)
        var lock: FileLock? = null
        try {
            lock = channel.tryLock()
        } catch (_: OverlappingFileLockException) {
            // This process holds the lock through another path.
        } finally {
            if (lock == null) channel.close()
        }
        return lock?.let { channel }
    }

    private fun syncNames(folder: Path) = FileChannel.open(folder, READ).use { it.force(true) }

    private companion object {
        /** The lock files that this process holds. */
        val lockedFiles: MutableSet<Path> = ConcurrentHashMap.newKeySet()
    }
}

private class NioAppendFile(
    private val channel: FileChannel,
) : AppendFile {
    override fun append(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) channel.write(buffer)
    }

    override fun truncate(length: Long) {
        channel.truncate(length)
    }

    override fun sync() = channel.force(true)

    override fun close() = channel.close()
}
