package samphirechute.testkit.engine

import samphirechute.core.RequestId

/** The KV memory of an engine, in tokens: what requests run in, what is exported, and what other engines borrow. */
class KvMemory(
    private val capacityTokens: Long,
) {
    private val blocks = LinkedHashMap<Pair<RequestId, KvUse>, Long>()

    var usedTokens = 0L
        private set

    val freeTokens: Long get() = capacityTokens - usedTokens

    /** Takes [tokens]; false, and nothing taken, when they do not fit or the request has such a block already. */
    fun reserve(
        request: RequestId,
        use: KvUse,
        tokens: Long,
    ): Boolean {
        if (tokens > freeTokens || request to use in blocks) return false
        blocks[request to use] = tokens
        usedTokens += tokens
        return true
    }

    /** Frees a block and returns its tokens; 0 when there is none. */
    fun release(
        request: RequestId,
        use: KvUse,
    ): Long {
        val tokens = blocks.remove(request to use) ?: return 0
        usedTokens -= tokens
        return tokens
    }

    fun releaseAll(request: RequestId) = KvUse.entries.sumOf { release(request, it) }

    /** The tokens of each request, over all uses. */
    fun held(): Map<RequestId, Long> =
        blocks.entries.groupingBy { it.key.first }.fold(0L) { sum, entry -> sum + entry.value }

    fun clear() {
        blocks.clear()
        usedTokens = 0
    }
}

/** What a block of KV memory is held for. */
enum class KvUse {
    RUNNING,

    /** Kept after its request until it is released, for another engine to fetch. */
    EXPORTED,

    /** Lent to a request that runs on another engine. */
    IMPORTED,
}
