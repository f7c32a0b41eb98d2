package samphirechute.routing.ledger

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import samphirechute.routing.CacheEvent
import samphirechute.routing.CacheReport
import samphirechute.routing.PromptPrefix
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PrefixIndexSpec {
    private val prefixes = listOf(PromptPrefix(1, 1_000), PromptPrefix(2, 4_000))
    private val upstream = UpstreamLedger(LedgerFixture().reports.getValue("e0"), 0, LedgerLimits())

    private fun index(vararg reports: Pair<CacheReport, Long>) =
        PrefixIndex().apply { reports.forEach { (report, nowMs) -> applyReport(upstream, report, nowMs) } }

    private fun present(
        first: Long,
        vararg hashes: Long,
        isPresent: Boolean = true,
    ) = CacheReport(first, first + hashes.size, hashes.map { CacheEvent(it, 0, isPresent) })

    @Nested
    inner class Events {
        /** Guards against relying on a prefix whose removal event was lost. */
        @Test
        fun `entries are certain only without gaps, and expire when they stay uncertain`() {
            val rows =
                listOf(
                    Triple(index(present(0, 1, 2) to 0L), 100_000L, CachedPrefix(4_000, 4_000)),
                    Triple(
                        index(present(0, 1, 2) to 0L, present(2, 2, isPresent = false) to 5L),
                        10L,
                        CachedPrefix(1_000, 1_000),
                    ),
                    Triple(index(present(0, 1, 2) to 0L, present(5, 9) to 5L), 10L, CachedPrefix(0, 4_000)),
                    Triple(index(present(0, 1, 2) to 0L, present(5, 9) to 5L), 6_000L, CachedPrefix.NONE),
                    Triple(index(present(0, 1, 2) to 0L, present(5, 1) to 5L), 10L, CachedPrefix(1_000, 4_000)),
                    Triple(
                        index(present(0, 1, 2, isPresent = false) to 0L, present(0, 1) to 5L),
                        10L,
                        CachedPrefix.NONE,
                    ),
                )
            for ((number, row) in rows.withIndex()) {
                assertEquals(row.third, row.first.lookUp(upstream, prefixes, row.second), "row $number")
            }
        }

        /** Guards against an entry that stays wrong although completed requests show the real cache content. */
        @Test
        fun `learns from completed requests`() {
            val index = index(present(0, 1, 2) to 0L)
            index.recordCacheUse(upstream, prefixes, cachedTokens = 1_000, nowMs = 10)
            assertEquals(CachedPrefix(1_000, 4_000), index.lookUp(upstream, prefixes, 20))
            index.recordCacheUse(upstream, prefixes, cachedTokens = 4_000, nowMs = 30)
            assertEquals(CachedPrefix(4_000, 4_000), index.lookUp(upstream, prefixes, 100_000))
        }
    }

    @Nested
    inner class Affinity {
        /** Guards against sending all requests with a popular prefix to one engine while others are idle. */
        @Test
        fun `prefers the engine with the prefix as long as that saves time`() {
            val fixture = LedgerFixture(engines = 4)
            fixture.report("e2") { copy(cache = present(0, 2)) }
            val asked = request("x", promptTokens = 5_000).copy(prefixes = prefixes)
            repeat(12) { fixture.ask(asked.copy(requestId = request("r$it").requestId)) }
            fixture.advance(1_500, renewing = fixture.outputs.grants)
            val grants = fixture.outputs.grants
            assertEquals(12, grants.size)
            assertEquals(UpstreamId("e2") to 4_000L, grants.first().let { it.primary.upstream to it.cachedTokens })
            val onHolder = grants.count { it.primary.upstream == UpstreamId("e2") }
            assertTrue(onHolder in 3..8, "$onHolder")
        }
    }
}
