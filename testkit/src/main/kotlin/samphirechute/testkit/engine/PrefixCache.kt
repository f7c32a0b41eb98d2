package samphirechute.testkit.engine

import samphirechute.core.engine.PrefixEvent

/** The prompt prefixes that an engine keeps, least recently used first, in the memory that requests leave free. */
class PrefixCache(
    private val onEvent: (PrefixEvent) -> Unit,
) {
    private val entries = LinkedHashMap<Long, Long>(16, 0.75f, true)

    var usedTokens = 0L
        private set

    /** The length of the longest cached prefix of [prefixes], which are pairs of length and hash. */
    fun cachedTokens(prefixes: List<Pair<Long, Long>>): Long =
        prefixes.filter { (_, hash) -> entries[hash] != null }.maxOfOrNull { it.first } ?: 0

    /** Keeps the longest of [prefixes] that fits into [freeTokens]; the shorter ones are parts of it. */
    fun add(
        prefixes: List<Pair<Long, Long>>,
        freeTokens: Long,
    ) {
        val longest = prefixes.lastOrNull()?.first ?: return
        if (longest > freeTokens) return
        for ((tokens, hash) in prefixes) {
            if (entries.put(hash, tokens) == null) {
                usedTokens += tokens
                onEvent(PrefixEvent(hash, tokens, present = true))
            }
        }
        shrinkTo(freeTokens)
    }

    /** Drops the least recently used prefixes until the rest fits. */
    fun shrinkTo(freeTokens: Long) {
        while (usedTokens > freeTokens) {
            val (hash, tokens) = entries.entries.first()
            entries.remove(hash)
            usedTokens -= tokens
            onEvent(PrefixEvent(hash, tokens, present = false))
        }
    }

    /** Forgets everything without an event, as an engine that lost its cache does. */
    fun lose() {
        entries.clear()
        usedTokens = 0
    }
}
