package samphirechute.routing.quarantine

import samphirechute.core.RequestTrait

/**
 * The newest quarantine of each set of traits. Lifted ones are remembered, so that an instance that has missed it does not
 * bring an older one back. The table is bounded: lifted ones go first, then those that have refused no request for the
 * longest time.
 */
internal class QuarantineTable(
    private val capacity: Int = CAPACITY,
) {
    private val entries = LinkedHashMap<Set<RequestTrait>, Entry>()

    /** Grows with each change. */
    var version = 0L
        private set

    val active: List<Quarantine> get() = entries.values.map { it.quarantine }.filter { it.isActive }

    operator fun get(traits: Set<RequestTrait>): Quarantine? = entries[traits]?.quarantine

    /** Returns a quarantine that a prompt with [traits] is in, or null; [nowMs] counts as the time of its last use. */
    fun find(
        traits: Set<RequestTrait>,
        nowMs: Long,
    ): Quarantine? {
        if (entries.isEmpty() || traits.isEmpty()) return null
        val entry = entries.values.firstOrNull { it.quarantine.covers(traits) } ?: return null
        entry.usedMs = nowMs
        return entry.quarantine
    }

    fun put(
        quarantine: Quarantine,
        nowMs: Long,
    ) {
        entries[quarantine.traits] = Entry(quarantine, ++version, nowMs)
        if (entries.size <= capacity) return
        val leastUsed = entries.values.minWith(compareBy({ it.quarantine.isActive }, { it.usedMs }))
        entries -= leastUsed.quarantine.traits
    }

    fun changedAfter(version: Long): List<Quarantine> =
        entries.values.filter { it.version > version }.map { it.quarantine }

    /** Forgets what has refused no request, or has been lifted, for longer than [KEEP_MS]. */
    fun forget(nowMs: Long) {
        entries.values.removeIf { nowMs - it.usedMs > KEEP_MS }
    }

    private class Entry(
        val quarantine: Quarantine,
        val version: Long,
        var usedMs: Long,
    )

    companion object {
        const val CAPACITY = 256

        /** A day, after which callers are not expected to send the same prompts any more. */
        const val KEEP_MS = 24L * 3_600 * 1_000
    }
}
