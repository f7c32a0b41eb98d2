package samphirechute.state.disk

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import kotlin.random.Random

/** A folder in memory that distinguishes what is durable from what is not, and fails on demand. */
internal class MemoryFolder : Folder {
    private class Content(
        var bytes: ByteArray = ByteArray(0),
        var durableLength: Int = 0,
    )

    private var visible = mapOf<String, Content>()
    private var durable = mapOf<String, Content>()
    private var isLocked = false

    /** Fails the operation that this names, such as `sync`, from the given number of further calls on. */
    var failing: Pair<String, Int>? = null
    var freeBytes = Long.MAX_VALUE
    val operations = mutableListOf<String>()
    override val path = "memory"

    override fun list() = visible.keys.toList()

    override fun size(name: String) = content(name).bytes.size.toLong()

    override fun read(name: String): InputStream = ByteArrayInputStream(content(name).bytes)

    override fun append(name: String): AppendFile {
        visible = if (name in visible) visible else visible + (name to Content())
        val content = content(name)
        return object : AppendFile {
            override fun append(bytes: ByteArray) {
                step("append")
                val room = minOf(bytes.size.toLong(), freeBytes).toInt()
                content.bytes += bytes.copyOf(room)
                freeBytes -= room
                if (room < bytes.size) throw IOException("no space left on device")
            }

            override fun sync() {
                step("sync")
                content.durableLength = content.bytes.size
            }

            override fun close() = Unit
        }
    }

    override fun truncate(
        name: String,
        length: Long,
    ) {
        step("truncate")
        content(name).bytes = content(name).bytes.copyOf(length.toInt())
        content(name).durableLength = length.toInt()
    }

    override fun rename(
        from: String,
        to: String,
    ) {
        step("rename")
        visible = visible - from + (to to content(from))
    }

    override fun delete(name: String) {
        step("delete")
        visible = visible - name
    }

    override fun sync() {
        step("syncFolder")
        durable = visible
    }

    override fun lock(name: String): AutoCloseable? {
        if (isLocked) return null
        isLocked = true
        return AutoCloseable { isLocked = false }
    }

    /** Power is lost: unsynced names may go, and of an unsynced tail any part may be left, damaged or not. */
    fun crash(random: Random) {
        isLocked = false
        failing = null
        freeBytes = Long.MAX_VALUE
        val left = if (random.nextBoolean()) durable else visible
        left.values.distinct().forEach { content ->
            val length = random.nextInt(content.durableLength, content.bytes.size + 1)
            content.bytes = content.bytes.copyOf(length)
            if (length > content.durableLength && random.nextBoolean()) {
                content.bytes[random.nextInt(content.durableLength, length)] = 0
            }
            content.durableLength = length
        }
        visible = left
        durable = left
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

    private fun step(operation: String) {
        operations += operation
        val (name, count) = failing ?: return
        if (name != operation) return
        failing = name to count - 1
        if (count <= 0) throw IOException("$operation failed")
    }
}
