package samphirechute.bench.core

import samphirechute.state.disk.AppendFile
import samphirechute.state.disk.Folder
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardCopyOption.REPLACE_EXISTING
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteIfExists
import kotlin.io.path.exists

/**
 * A folder that keeps, beside the files of [real], an image of what a loss of power would leave: a file as it was at its last
 * sync, and names as they were at the last sync of the folder.
 */
internal class ShadowFolder(
    private val root: Path,
    private val real: Folder,
) : Folder by real {
    private val image = DurableImage.of(root).folder.createDirectories()

    /** Renames and deletions since the last sync of the folder, in order; a deletion has no second name. */
    private val unsynced = ArrayList<Pair<String, String?>>()

    override fun append(name: String): AppendFile = ShadowFile(name, real.append(name))

    override fun rename(
        from: String,
        to: String,
    ) {
        real.rename(from, to)
        unsynced += from to to
    }

    override fun delete(name: String) {
        real.delete(name)
        unsynced += name to null
    }

    @Throws(IOException::class)
    override fun sync() {
        real.sync()
        for ((from, to) in unsynced) {
            val durable = image.resolve(from)
            when {
                to == null -> durable.deleteIfExists()
                durable.exists() -> Files.move(durable, image.resolve(to), ATOMIC_MOVE)
            }
        }
        unsynced.clear()
    }

    private inner class ShadowFile(
        private val name: String,
        private val file: AppendFile,
    ) : AppendFile by file {
        /** What was appended since the last sync, or null when the file was cut since. */
        private var tail: ArrayList<ByteArray>? = if (real.size(name) > 0) null else ArrayList()

        override fun append(bytes: ByteArray) {
            file.append(bytes)
            tail?.add(bytes)
        }

        override fun truncate(length: Long) {
            file.truncate(length)
            tail = null
        }

        override fun sync() {
            file.sync()
            val durable = image.resolve(name)
            val appended = tail
            if (appended == null) {
                val copy = image.resolveSibling("${image.fileName}-copy-$name")
                Files.copy(root.resolve(name), copy, REPLACE_EXISTING)
                Files.move(copy, durable, ATOMIC_MOVE)
            } else {
                Files.newOutputStream(durable, *DurableImage.APPEND).use { output -> appended.forEach(output::write) }
            }
            tail = ArrayList()
        }
    }
}
