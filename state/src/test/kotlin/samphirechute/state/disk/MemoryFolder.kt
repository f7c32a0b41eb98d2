package samphirechute.state.disk

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import kotlin.random.Random

/** A folder in memory that tracks which data is durable, and fails on demand. */
internal class MemoryFolder : Folder {
    private class Content(
        var bytes: ByteArray = ByteArray(0),
        var durableLength: Int = 0,
    )

    private var visible = mapOf<String, Content>()
    private var durable = mapOf<String, Content>()
    private var isLocked = false

    /** The operation to fail, such as `sync`, and how many of its calls succeed before. */
    var failing: Pair<String, Int>? = null

    @Volatile
    var freeBytes = Long.MAX_VALUE
    val operations = mutableListOf<String>()
    override val path = "memory"

    override fun list() = visible.keys.toList()

    override fun size(name: String) = content(name).bytes.size.toLong()

    override fun read(name: String): InputStream = ByteArrayInputStream(content(name).bytes)

    override fun append(name: String): AppendFile {
        if (name !in visible) {
            if (freeBytes <= 0) throw IOException("No space left on device")
            visible = visible + (name to Content())
        }
        val content = content(name)
        return object : AppendFile {
            override fun append(bytes: ByteArray) {
                recordOrFail("append")
                val writable = minOf(bytes.size.toLong(), freeBytes).toInt()
                content.bytes += bytes.copyOf(writable)
                freeBytes -= writable
                if (writable < bytes.size) throw IOException("No space left on device")
            }

            override fun truncate(length: Long) {
                recordOrFail("truncate")
                content.bytes = content.bytes.copyOf(length.toInt())
                check(content.durableLength <= length) { "durable bytes are cut off" }
            }

            override fun sync() {
                recordOrFail("sync")
                content.durableLength = content.bytes.size
            }

            override fun close() = Unit
        }
    }

    override fun truncate(
        name: String,
        length: Long,
    ) {
        recordOrFail("truncate")
        content(name).bytes = content(name).bytes.copyOf(length.toInt())
        content(name).durableLength = minOf(content(name).durableLength, length.toInt())
    }

    override fun rename(
        from: String,
        to: String,
    ) {
        recordOrFail("rename")
        visible = visible - from + (to to content(from))
    }

    override fun delete(name: String) {
        recordOrFail("delete")
        visible = visible - name
    }

    override fun sync() {
        recordOrFail("syncFolder")
        durable = visible
    }

    override fun lock(name: String): AutoCloseable? {
        if (isLocked) return null
        isLocked = true
        return AutoCloseable { isLocked = false }
    }

    /**
     * Simulates a power loss: unsynced names may be lost, and any part of an unsynced tail may remain, damaged or not.
     */
    fun crash(random: Random) {
        isLocked = false
        failing = null
        freeBytes = Long.MAX_VALUE
        val remaining = if (random.nextBoolean()) durable else visible
        remaining.values.distinct().forEach { content ->
            val length = random.nextInt(content.durableLength, content.bytes.size + 1)
            content.bytes = content.bytes.copyOf(length)
            if (length > content.durableLength && random.nextBoolean()) {
                content.bytes[random.nextInt(content.durableLength, length)] = 0
            }
            content.durableLength = length
        }
        visible = remaining
        durable = remaining
    }

    /** What a loss of power leaves at this moment if everything that is not synced is lost. */
    fun durableCopy(): MemoryFolder {
        val copy = MemoryFolder()
        copy.durable = durable.mapValues { (_, it) -> Content(it.bytes.copyOf(it.durableLength), it.durableLength) }
        copy.visible = copy.durable
        return copy
    }

    fun flipBit(
        name: String,
        offset: Int,
    ) {
        val bytes = content(name).bytes
        bytes[offset] = (bytes[offset].toInt() xor 1).toByte()
    }

    fun bytes(name: String): ByteArray {
        val out = ByteArrayOutputStream()
        read(name).use { it.transferTo(out) }
        return out.toByteArray()
    }

    private fun content(name: String) = visible[name] ?: throw IOException("no file $name")

    private fun recordOrFail(operation: String) {
        operations += operation
        val (name, count) = failing ?: return
        if (name != operation) return
        failing = name to count - 1
        if (count <= 0) throw IOException("$operation failed")
    }
}
