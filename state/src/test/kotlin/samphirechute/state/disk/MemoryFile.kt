package samphirechute.state.disk

/** A file of a [MemoryFolder]: what a process reads, and the changes that were not synced. */
internal class MemoryFile {
    var bytes = ByteArray(0)
        private set
    private var durable = bytes
    private val unsynced = mutableListOf<Change>()

    val durableLength get() = durable.size

    fun append(added: ByteArray) {
        val offset = bytes.size
        bytes += added
        if (added.isNotEmpty()) unsynced += Change { before, choose -> keepWrite(before, offset, added, choose) }
    }

    fun truncate(length: Int) {
        bytes = bytes.copyOf(length)
        unsynced += Change { before, choose -> if (choose(2) == 1) before.copyOf(length) else before }
    }

    fun sync() {
        durable = unsynced.filter { !it.isGivenUp }.fold(durable) { before, change -> change.keep(before) { 1 } }
        unsynced.clear()
    }

    /** After this, a process still reads the changes so far, but no later sync covers them. */
    fun failSync() = unsynced.forEach { it.isGivenUp = true }

    /** What a loss of power leaves at this moment if everything that is not synced is lost. */
    fun durableCopy(): MemoryFile {
        val copy = MemoryFile()
        copy.bytes = durable
        copy.durable = durable
        return copy
    }

    fun crash(choose: (outcomes: Int) -> Int) {
        durable = unsynced.fold(durable) { before, change -> change.keep(before, choose) }
        unsynced.clear()
        bytes = durable
    }

    private class Change(
        var isGivenUp: Boolean = false,
        val keep: (before: ByteArray, choose: (Int) -> Int) -> ByteArray,
    )

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
