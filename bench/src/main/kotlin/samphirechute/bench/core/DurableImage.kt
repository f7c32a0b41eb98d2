package samphirechute.bench.core

import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.random.Random

/** The image of a data folder that a [ShadowFolder] writes beside it. */
internal class DurableImage private constructor(
    private val data: Path,
    val folder: Path,
) {
    /** Gives the data folder what a loss of power leaves, and returns how many appended bytes were not durable. */
    fun restore(
        kept: Kept,
        random: Random,
    ): Long {
        if (kept == Kept.WRITTEN || !folder.exists()) return 0
        var unsyncedBytes = 0L
        val written = data.listDirectoryEntries().associate { it.name to it.readBytes() }
        data.toFile().deleteRecursively()
        data.createDirectories()
        for (file in folder.listDirectoryEntries()) {
            val synced = file.readBytes()
            val tail = written[file.name].orEmpty(synced.size)
            unsyncedBytes += tail.size
            val keptBytes = if (kept == Kept.PART) random.nextInt(tail.size + 1) else 0
            data.resolve(file.name).writeBytes(synced + tail.copyOf(keptBytes))
        }
        return unsyncedBytes
    }

    /** Loses the disk. */
    fun delete() {
        data.toFile().deleteRecursively()
        folder.toFile().deleteRecursively()
    }

    private fun ByteArray?.orEmpty(from: Int) = this?.takeIf { it.size > from }?.copyOfRange(from, size) ?: ByteArray(0)

    companion object {
        val APPEND = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.APPEND)

        fun of(data: Path) = DurableImage(data, data.resolveSibling("${data.name}-durable"))
    }
}
