package samphirechute.routing.ledger

import samphirechute.routing.CacheReport
import samphirechute.routing.PromptPrefix

/**
 * Records which prompt prefixes the engines have in their caches, according to their cache events.
 *
 * Events arrive late, and some are lost. After a gap in the events of an engine, all its entries are uncertain until an
 * event or a completed request confirms them; entries that stay unconfirmed expire. When a request is granted, its
 * prefixes are added as uncertain entries, so that a burst of requests with one prefix goes to one engine.
 */
internal class PrefixIndex {
    private val caches = HashMap<UpstreamLedger, Cache>()
    private val holders = HashMap<Long, ArrayList<UpstreamLedger>>()

    /** The tokens of [prefixes] that are certainly, and those that are possibly, in the cache of [upstream]. */
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

    /** Visits at most [MAX_HOLDERS] engines that may have one of [prefixes], those with the longest prefix first. */
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

    /** Applies the cache events of [report] that were not applied before. */
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

    /** Adds the prefixes of a request that was granted on [upstream] as uncertain entries. */
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

    /** Marks entries as certain or uncertain by a request that found [cachedTokens] of its prompt in the cache. */
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

        /** The number of gaps so far. The event that removed an entry of an earlier round may have been lost. */
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

/** The tokens of a prompt that are in the cache of one engine for certain, and those that are possibly in it. */
internal data class CachedPrefix(
    val certain: Long,
    val possible: Long,
) {
    /** The estimate used to compare engines, halfway between the certain and the possible tokens. */
    val estimated: Long get() = (certain + possible) / 2

    companion object {
        val NONE = CachedPrefix(0, 0)
    }
}
