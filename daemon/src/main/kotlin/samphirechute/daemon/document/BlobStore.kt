package samphirechute.daemon.document

import samphirechute.core.log.KeyValueLog
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.TRUNCATE_EXISTING
import java.nio.file.StandardOpenOption.WRITE
import java.nio.file.attribute.FileTime
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.Executors
import kotlin.io.path.exists
import kotlin.io.path.getLastModifiedTime
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/**
 * Prompts and answers of documents as files named by their SHA-256. A file appears under its name only when it is
 * whole and synced, together with its folder. Disk work runs on a thread of its own; results come back through [post].
 */
internal class BlobStore(
    private val folder: Path,
    private val post: (() -> Unit) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "blobs").apply { isDaemon = true } }

    init {
        Files.createDirectories(folder)
    }

    /** Makes a blob durable; [onDone] gets false when the digest does not fit or the disk failed. */
    fun put(
        digest: String,
        bytes: ByteArray,
        onDone: (Boolean) -> Unit,
    ) = work({ digest == digestOf(bytes) && write(digest, bytes) }, false, onDone)

    /** Reads a blob; null when it is not here. */
    fun get(
        digest: String,
        onDone: (ByteArray?) -> Unit,
    ) = work({
        if (isDigest(digest) &&
            file(digest).exists()
        ) {
            Files.readAllBytes(file(digest))
        } else {
            null
        }
    }, null, onDone)

    /** Deletes blobs that are older than [minAgeMs] and not in [kept]. A younger one may belong to a document on its way. */
    fun clean(
        kept: Set<String>,
        minAgeMs: Long,
    ) = work({ cleanNow(kept, minAgeMs) }, 0) { }

    override fun close() {
        executor.shutdown()
    }

    private fun <T> work(
        action: () -> T,
        onError: T,
        onDone: (T) -> Unit,
    ) {
        executor.execute {
            val result =
                try {
                    action()
                } catch (error: IOException) {
                    log.warn("blob_failed", mapOf("error" to error.message))
                    onError
                }
            post { onDone(result) }
        }
    }

    private fun write(
        digest: String,
        bytes: ByteArray,
    ): Boolean {
        if (file(digest).exists()) {
            Files.setLastModifiedTime(file(digest), FileTime.fromMillis(System.currentTimeMillis()))
            return true
        }
        val temporary = folder.resolve("$digest$TEMPORARY")
        FileChannel.open(temporary, CREATE, WRITE, TRUNCATE_EXISTING).use { channel ->
            val buffer = ByteBuffer.wrap(bytes)
            while (buffer.hasRemaining()) channel.write(buffer)
            channel.force(true)
        }
        Files.move(temporary, file(digest), ATOMIC_MOVE)
        FileChannel.open(folder, READ).use { it.force(true) }
        return true
    }

    private fun cleanNow(
        kept: Set<String>,
        minAgeMs: Long,
    ): Int {
        val before = System.currentTimeMillis() - minAgeMs
        val old =
            folder.listDirectoryEntries().filter {
                it.name !in kept &&
                    it.getLastModifiedTime().toMillis() < before
            }
        old.forEach(Files::deleteIfExists)
        return old.size
    }

    private fun file(digest: String) = folder.resolve(digest)

    companion object {
        private const val TEMPORARY = ".tmp"
        private val DIGEST = Regex("[0-9a-f]{64}")
        private val log = KeyValueLog("blobs")

        fun digestOf(bytes: ByteArray): String =
            HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))

        fun isDigest(text: String) = DIGEST.matches(text)
    }
}
