package samphirechute.state.disk

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import kotlin.random.Random

/** A folder in memory that tracks which data and which names are durable, and fails on demand. */
internal class MemoryFolder : Folder {
    private var visible = mapOf<String, MemoryFile>()
    private var durable = mapOf<String, MemoryFile>()

    /** The creations, renames and deletions since the last sync of the folder. */
    private val nameChanges = mutableListOf<(MutableMap<String, MemoryFile>) -> Unit>()
    private var isLocked = false

    /** The operation to fail, such as `sync`, and how many of its calls succeed before. */
    var failing: Pair<String, Int>? = null

    /** The number of operations after which the process ends with [ProcessEnded]. */
    var operationsLeft = Int.MAX_VALUE

    @Volatile
    var freeBytes = Long.MAX_VALUE
    override val path = "memory"

    override fun list() = visible.keys.toList()

    override fun size(name: String) = file(name).bytes.size.toLong()

    override fun read(name: String): InputStream = ByteArrayInputStream(file(name).bytes)

    override fun append(name: String): AppendFile {
        if (name !in visible) {
            if (freeBytes <= 0) throw IOException("No space left on device")
            recordOrFail("create")
            val created = MemoryFile()
            changeNames { it[name] = created }
        }
        val file = file(name)
        return object : AppendFile {
            override fun append(bytes: ByteArray) {
                recordOrFail("append")
                val writable = minOf(bytes.size.toLong(), freeBytes).toInt()
                file.append(bytes.copyOf(writable))
                freeBytes -= writable
                if (writable < bytes.size) throw IOException("No space left on device")
            }

            override fun truncate(length: Long) {
                recordOrFail("truncate")
                check(file.durableLength <= length) { "durable bytes are cut off" }
                file.truncate(length.toInt())
            }

            override fun sync() {
                try {
                    recordOrFail("sync")
                } catch (e: IOException) {
                    file.failSync()
                    throw e
                }
                file.sync()
            }

            override fun close() = Unit
        }
    }

    override fun truncate(
        name: String,
        length: Long,
    ) {
        recordOrFail("truncate")
        file(name).truncate(length.toInt())
    }

    override fun rename(
        from: String,
        to: String,
    ) {
        recordOrFail("rename")
        val renamed = file(from)
        changeNames {
            it -= from
            it[to] = renamed
        }
    }

    override fun delete(name: String) {
        recordOrFail("delete")
        file(name)
        changeNames { it -= name }
    }

    override fun sync() {
        recordOrFail("syncFolder")
        durable = visible
        nameChanges.clear()
    }

    override fun lock(name: String): AutoCloseable? {
        if (isLocked) return null
        isLocked = true
        return AutoCloseable { isLocked = false }
    }

    /** Simulates the end of the process alone, after which everything that was written is still there. */
    fun endProcess() {
        isLocked = false
        failing = null
        operationsLeft = Int.MAX_VALUE
        freeBytes = Long.MAX_VALUE
    }

    /** Simulates a power loss with a random outcome. In some, all changes that were not synced are lost, or none. */
    fun crash(random: Random) {
        when (val outcome = random.nextInt(EXTREME_EVERY)) {
            0, 1 -> crash { outcome }
            else -> crash { random.nextInt(it) }
        }
    }

    /**
     * Simulates a power loss. [choose] selects one of a number of outcomes: each creation, rename or deletion of a file
     * that was not synced is lost or kept independently, and each change of a file likewise, or it is torn.
     */
    fun crash(choose: (outcomes: Int) -> Int) {
        endProcess()
        val names = durable.toMutableMap()
        nameChanges.forEach { change -> if (choose(2) == 1) change(names) }
        names.values.distinct().forEach { it.crash(choose) }
        visible = names
        durable = names
        nameChanges.clear()
    }

    /** What a loss of power leaves at this moment if everything that is not synced is lost. */
    fun durableCopy(): MemoryFolder {
        val copy = MemoryFolder()
        copy.durable = durable.mapValues { (_, it) -> it.durableCopy() }
        copy.visible = copy.durable
        return copy
    }

    fun flipBit(
        name: String,
        offset: Int,
    ) {
        val bytes = file(name).bytes
        bytes[offset] = (bytes[offset].toInt() xor 1).toByte()
    }

    fun bytes(name: String): ByteArray {
        val out = ByteArrayOutputStream()
        read(name).use { it.transferTo(out) }
        return out.toByteArray()
    }

    private fun changeNames(change: (MutableMap<String, MemoryFile>) -> Unit) {
        visible = visible.toMutableMap().also(change)
        nameChanges += change
    }

    private fun file(name: String) = visible[name] ?: throw IOException("no file $name")

    private fun recordOrFail(operation: String) {
        if (operationsLeft <= 0) throw ProcessEnded()
        operationsLeft--
        val (name, count) = failing ?: return
        if (name != operation) return
        failing = name to count - 1
        if (count <= 0) throw IOException("$operation failed")
    }

    private companion object {
        const val EXTREME_EVERY = 6
    }
}

/** Ends a process in a test; no [IOException], since nothing in the process may handle it. */
internal class ProcessEnded : RuntimeException("the process has ended")
