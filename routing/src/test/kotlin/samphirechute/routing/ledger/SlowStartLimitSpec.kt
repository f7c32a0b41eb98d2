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
        /** Guards against a limit that grows with time alone, on slow completions, or without being used. */
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

        /** Guards against an upstream that stays cold forever because it announces a rate that it cannot reach. */
        @Test
        fun `accepts a level latency as normal for the upstream`() {
            val limit = SlowStartLimit(capacity)
            repeat(200) { limit.recordCompletion(2.0, running = limit.concurrency) }
            assertFalse(limit.isCold)
        }
    }

    @Nested
    inner class Falling {
        /** Guards against full load on an upstream that became cold without announcing it. */
        @Test
        fun `falls to the cold limit when the latency rises`() {
            val limit = warm()
            val falls = List(4) { limit.recordCompletion(5.0, running = 8) }
            assertEquals(listOf(false, false, false, true), falls)
            assertEquals(2 to 4_000L, limit.concurrency to limit.prefillTokens)
        }

        /** Guards against a few slow requests that reset the limit. */
        @Test
        fun `keeps the limit when slow requests are few`() {
            val limit = warm()
            repeat(30) { limit.recordCompletion(if (it % 3 == 0) 5.0 else 1.0, running = 8) }
            assertFalse(limit.isCold)
        }

        /** Guards against full load on an upstream that has restarted, refuses or fails. */
        @Test
        fun `falls to the cold limit on a new generation, a refusal and a failure`() {
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
        /** Guards against a burst of requests or tokens that a cold engine cannot handle. */
        @Test
        fun `assigns a cold engine no more than its cold limit`() {
            for ((prompt, admitted) in listOf(1_000L to 2, 3_000L to 1, 5_000L to 0)) {
                val fixture = LedgerFixture(capacity = capacity)
                repeat(8) { fixture.ask(request("r$it", promptTokens = prompt)) }
                assertEquals(admitted, fixture.outputs.grants.size, "$prompt")
            }
        }

        /** Guards against a pool of cold engines that never accepts its first large prompt. */
        @Test
        fun `grants a single large prompt on a cold engine that was idle`() {
            val fixture = LedgerFixture(capacity = capacity)
            fixture.ask(request("large", promptTokens = 20_000, firstTokenMs = 30_000))
            assertEquals(emptyList(), fixture.advance(7_000).grants)
            assertEquals(listOf("large"), fixture.advance(2_000).grantedIds)
        }

        /** Guards against a new coordinator that treats busy engines as cold and gives them no more work. */
        @Test
        fun `a new coordinator raises the limit to the load that an engine reports`() {
            val fixture = LedgerFixture(capacity = capacity)
            fixture.send(LedgerInput.EpochBegan(2))
            val held = (1..6).associate { RequestId("x$it") to 10L }
            fixture.report("e0") { copy(load = UpstreamLoad(6, 0, 60, held)) }
            assertEquals(6, fixture.view().concurrencyLimit)
        }
    }
}
