package samphirechute.routing.ledger

import samphirechute.routing.CacheReport
import samphirechute.routing.PromptPrefix

/**
 * Which prompt prefixes the engines hold in their caches, from their cache events. Events come late and some are
 * lost. After a gap nothing known of that engine is certain until an event or a completed request confirms it, and
 * what stays unconfirmed is forgotten. A prefix that a request will leave behind is entered as uncertain when the
 * request is granted, so that a burst with one prefix goes to one engine.
 */
internal class PrefixIndex {
    private val caches = HashMap<UpstreamLedger, Cache>()
    private val holders = HashMap<Long, ArrayList<UpstreamLedger>>()

    /** The tokens of these prefixes that [upstream] has for certain, and those that it may have. */
    fun lookUp(
        upstream: UpstreamLedger,
        prefixes: List<PromptPrefix>,
        nowMs: Long,
    ): CachedPrefix {
        if (prefixes.isEmpty()) return CachedPrefix.NONE
        val cache = caches[upstream] ?: return CachedPrefix.NONE
        var certain = 0L
        var possible = 0L
        for (prefix in prefixes) {
            val entry = cache.entries[prefix.hash] ?: continue
            val isCertain = entry.isCertain && entry.round == cache.round
            if (!isCertain && nowMs >= entry.untilMs) continue
            possible = maxOf(possible, prefix.tokens)
            if (isCertain) certain = maxOf(certain, prefix.tokens)
        }
        return if (possible == 0L) CachedPrefix.NONE else CachedPrefix(certain, possible)
    }

    /** Visits engines that may hold one of [prefixes], those of the longest first, at most [MAX_HOLDERS]. */
    inline fun visitHolders(
        prefixes: List<PromptPrefix>,
        visit: (UpstreamLedger) -> Unit,
    ) {
        var visits = 0
        for (index in prefixes.indices.reversed()) {
            for (upstream in holders[prefixes[index].hash] ?: continue) {
                if (visits++ >= MAX_HOLDERS) return
                visit(upstream)
            }
        }
    }

    fun applyReport(
        upstream: UpstreamLedger,
        report: CacheReport,
        nowMs: Long,
    ) {
        if (report.nextSequence == 0L) return
        val cache = caches.getOrPut(upstream) { Cache() }
        if (report.nextSequence < cache.nextSequence) return
        if (report.firstSequence > cache.nextSequence) cache.recordGap(nowMs)
        val known = (cache.nextSequence - report.firstSequence).coerceIn(0L, report.events.size.toLong()).toInt()
        for (event in report.events.subList(known, report.events.size)) {
            if (event.isPresent) {
                putEntry(upstream, cache, event.prefixHash, isCertain = true, nowMs)
            } else {
                removeEntry(upstream, cache, event.prefixHash)
            }
        }
        cache.nextSequence = report.nextSequence
    }

    /** A request with these prefixes was granted for [upstream]. */
    fun addExpected(
        upstream: UpstreamLedger,
        prefixes: List<PromptPrefix>,
        nowMs: Long,
    ) {
        if (prefixes.isEmpty()) return
        val cache = caches.getOrPut(upstream) { Cache() }
        for (prefix in prefixes) {
            if (prefix.hash !in cache.entries) putEntry(upstream, cache, prefix.hash, isCertain = false, nowMs)
        }
    }

    /** A request with these prefixes found [cachedTokens] of them in the cache of [upstream]. */
    fun recordCacheUse(
        upstream: UpstreamLedger,
        prefixes: List<PromptPrefix>,
        cachedTokens: Long,
        nowMs: Long,
    ) {
        val cache = caches[upstream] ?: return
        for (prefix in prefixes) {
            val entry = cache.entries[prefix.hash] ?: continue
            when {
                prefix.tokens <= cachedTokens -> putEntry(upstream, cache, prefix.hash, isCertain = true, nowMs)
                entry.isCertain -> putEntry(upstream, cache, prefix.hash, isCertain = false, nowMs)
            }
        }
    }

    fun clear(upstream: UpstreamLedger) {
        val cache = caches.remove(upstream) ?: return
        cache.entries.keys.forEach { unlink(upstream, it) }
    }

    private fun putEntry(
        upstream: UpstreamLedger,
        cache: Cache,
        hash: Long,
        isCertain: Boolean,
        nowMs: Long,
    ) {
        val isNew = cache.entries.put(hash, Entry(isCertain, cache.round, nowMs + UNCERTAIN_MS)) == null
        if (!isNew) return
        holders.getOrPut(hash) { ArrayList(1) } += upstream
        if (cache.entries.size > MAX_ENTRIES) removeEntry(upstream, cache, cache.entries.keys.first())
    }

    private fun removeEntry(
        upstream: UpstreamLedger,
        cache: Cache,
        hash: Long,
    ) {
        if (cache.entries.remove(hash) != null) unlink(upstream, hash)
    }

    private fun unlink(
        upstream: UpstreamLedger,
        hash: Long,
    ) {
        val list = holders[hash] ?: return
        list -= upstream
        if (list.isEmpty()) holders -= hash
    }

    private class Entry(
        val isCertain: Boolean,
        val round: Int,
        var untilMs: Long,
    )

    private class Cache {
        val entries = LinkedHashMap<Long, Entry>(16, LOAD_FACTOR, true)
        var nextSequence = 0L

        /** Counts the gaps; an entry of an earlier round may have left the cache in a lost event. */
        var round = 0

        fun recordGap(nowMs: Long) {
            round++
            entries.values.forEach { if (it.isCertain && it.round == round - 1) it.untilMs = nowMs + UNCERTAIN_MS }
        }
    }

    companion object {
        const val MAX_HOLDERS = 8
        private const val MAX_ENTRIES = 512
        private const val UNCERTAIN_MS = 5_000L
        private const val LOAD_FACTOR = 0.75f
    }
}

/** Tokens of a prompt in the cache of one engine: [certain] ones may be counted on, [possible] ones only hoped for. */
internal data class CachedPrefix(
    val certain: Long,
    val possible: Long,
) {
    /** What the prefix is worth when engines are compared. */
    val estimated: Long get() = (certain + possible) / 2

    companion object {
        val NONE = CachedPrefix(0, 0)
    }
}
