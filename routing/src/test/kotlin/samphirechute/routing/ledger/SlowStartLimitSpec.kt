package samphirechute.routing.ledger

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.routing.GrantEnding
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SlowStartLimitSpec {
    private val capacity = ENGINE.copy(maxConcurrency = 16, coldConcurrency = 2, coldPrefillTokens = 4_000)

    private fun warm() =
        SlowStartLimit(capacity).apply {
            repeat(100) { recordCompletion(1.0, running = concurrency) }
        }

    @Nested
    inner class Growth {
        /** Guards against load that grows on time alone, on slow completions, or without having been used. */
        @Test
        fun `grows only on completions at the expected latency under load`() {
            val rows = listOf(Triple(1.0, 2, 4), Triple(1.6, 2, 2), Triple(1.0, 0, 2))
            for ((ratio, running, expected) in rows) {
                val limit = SlowStartLimit(capacity)
                repeat(2) { limit.recordCompletion(ratio, running) }
                assertEquals(expected, limit.concurrency, "$ratio with $running")
            }
            assertFalse(warm().isCold)
        }

        /** Guards against an upstream that announces more than it can do and would stay cold for good. */
        @Test
        fun `accepts a level latency as that of the upstream`() {
            val limit = SlowStartLimit(capacity)
            repeat(200) { limit.recordCompletion(2.0, running = limit.concurrency) }
            assertFalse(limit.isCold)
        }
    }

    @Nested
    inner class Falling {
        /** Guards against an upstream that became cold unannounced and keeps its full load. */
        @Test
        fun `falls to the cold limit when the latency rises`() {
            val limit = warm()
            val falls = List(4) { limit.recordCompletion(5.0, running = 8) }
            assertEquals(listOf(false, false, false, true), falls)
            assertEquals(2 to 4_000L, limit.concurrency to limit.prefillTokens)
        }

        /** Guards against a single slow request that costs an upstream its load. */
        @Test
        fun `keeps the limit when slow requests are few`() {
            val limit = warm()
            repeat(30) { limit.recordCompletion(if (it % 3 == 0) 5.0 else 1.0, running = 8) }
            assertFalse(limit.isCold)
        }

        /** Guards against full load on a restarted or refusing upstream. */
        @Test
        fun `falls to the cold limit on a new generation and on a refusal`() {
            val rows =
                listOf<(LedgerFixture) -> Unit>(
                    { it.report("e0") { copy(generation = 2) } },
                    { it.release(it.ask(request("x")).grants.single(), GrantEnding.REFUSED) },
                    { it.release(it.ask(request("x")).grants.single(), GrantEnding.FAILED) },
                )
            for ((index, row) in rows.withIndex()) {
                val fixture = LedgerFixture(capacity = capacity)
                var id = 0
                repeat(60) {
                    val grants =
                        List(
                            fixture.view().concurrencyLimit,
                        ) { fixture.ask(request("r${id++}", promptTokens = 10)).grants }
                    fixture.advance(200, renewing = grants.flatten())
                    grants.flatten().forEach { fixture.release(it) }
                }
                assertFalse(fixture.view().isCold, "row $index")
                row(fixture)
                assertTrue(fixture.view().isCold, "row $index")
                assertEquals(2, fixture.view().concurrencyLimit, "row $index")
            }
        }
    }

    @Nested
    inner class Bounds {
        /** Guards against a burst that a cold engine cannot take, in requests or in tokens. */
        @Test
        fun `gives a cold engine no more than its cold limit`() {
            for ((prompt, admitted) in listOf(1_000L to 2, 3_000L to 1, 5_000L to 0)) {
                val fixture = LedgerFixture(capacity = capacity)
                repeat(8) { fixture.ask(request("r$it", promptTokens = prompt)) }
                assertEquals(admitted, fixture.outputs.grants.size, "$prompt")
            }
        }

        /** Guards against a pool of cold engines that can never take its first large prompt. */
        @Test
        fun `lets a large prompt alone onto a cold engine that had nothing to do`() {
            val fixture = LedgerFixture(capacity = capacity)
            fixture.ask(request("large", promptTokens = 20_000, firstTokenMs = 30_000))
            assertEquals(emptyList(), fixture.advance(7_000).grants)
            assertEquals(listOf("large"), fixture.advance(2_000).grantedIds)
        }

        /** Guards against a new coordinator that takes busy engines for cold and stops their service. */
        @Test
        fun `takes the load under a new coordinator as evidence`() {
            val fixture = LedgerFixture(capacity = capacity)
            fixture.send(LedgerInput.EpochBegan(2))
            val held = (1..6).associate { RequestId("x$it") to 10L }
            fixture.report("e0") { copy(load = UpstreamLoad(6, 0, 60, held)) }
            assertEquals(6, fixture.view().concurrencyLimit)
        }
    }
}
