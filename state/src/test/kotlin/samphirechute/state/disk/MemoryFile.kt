package samphirechute.state.disk

/** A file of a [MemoryFolder]: what a process reads, and the changes that were not synced. */
internal class MemoryFile {
    var bytes = ByteArray(0)
        private set
    private var durable = bytes
    private val unsynced = mutableListOf<(before: ByteArray, choose: (Int) -> Int) -> ByteArray>()

    val durableLength get() = durable.size

    fun append(added: ByteArray) {
        val offset = bytes.size
        bytes += added
        if (added.isNotEmpty()) unsynced += { before, choose -> keepWrite(before, offset, added, choose) }
    }

    fun truncate(length: Int) {
        bytes = bytes.copyOf(length)
        unsynced += { before, choose -> if (choose(2) == 1) before.copyOf(length) else before }
    }

    fun sync() {
        durable = bytes
        unsynced.clear()
    }

    /** What a loss of power leaves at this moment if everything that is not synced is lost. */
    fun durableCopy(): MemoryFile {
        val copy = MemoryFile()
        copy.bytes = durable
        copy.durable = durable
        return copy
    }

    fun crash(choose: (outcomes: Int) -> Int) {
        bytes = unsynced.fold(durable) { before, change -> change(before, choose) }
        sync()
    }

    private fun keepWrite(
        before: ByteArray,
        offset: Int,
        added: ByteArray,
        choose: (Int) -> Int,
    ): ByteArray {
        val kept =
            when (choose(WRITE_OUTCOMES)) {
                0 -> return before
                1 -> added
                2 -> added.copyOf(choose(added.size))
                else -> added.copyOf().also { it.fill(0, 0, 1 + choose(added.size)) }
            }
        val end = maxOf(before.size, offset + kept.size)
        return before.copyOf(end).also { kept.copyInto(it, offset) }
    }

    private companion object {
        /** Missing, whole, cut off, or with zeros at the front, as when only later blocks were written. */
        const val WRITE_OUTCOMES = 4
    }
}
