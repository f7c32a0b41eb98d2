package samphirechute.routing.ledger

import org.junit.jupiter.api.Nested
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LongPromptShareSpec {
    private fun long(id: String) = request(id, promptTokens = 50_000, firstTokenMs = 100_000, remainingMs = 400_000)

    @Nested
    inner class Share {
        /** Guards against leaving no engine for short or long prompts, and against ignoring the mix of prompts. */
        @Test
        fun `follows the share of long prompts in the requested prefill, within bounds`() {
            val rows = listOf(Triple(0L, 10L, 1), Triple(5L, 5L, 5), Triple(10L, 0L, 9))
            for ((long, short, engines) in rows) {
                val share = LongPromptShare()
                share.recordDemand(long, true, 0)
                share.recordDemand(short, false, 0)
                assertEquals(engines, share.maxEngines(10), "$long to $short")
                assertEquals(1, share.maxEngines(1))
            }
        }

        /** Guards against long prompts on all engines at once, and against several on one engine. */
        @Test
        fun `limits the engines that run long prompts, and the long prompts on each`() {
            val fixture = LedgerFixture(engines = 4)
            repeat(8) { fixture.ask(long("l$it")) }
            val granted = fixture.outputs.grants
            assertEquals(3, granted.size)
            assertEquals(3, granted.map { it.primary.upstream }.distinct().size)
        }
    }

    @Nested
    inner class ShortBesideLong {
        /** Guards against short prompts that run next to a long prefill while another engine is free. */
        @Test
        fun `keeps short prompts away from an engine that runs a long one`() {
            val fixture = LedgerFixture(engines = 2)
            val long = fixture.ask(long("l")).grants.single()
            val shorts = List(2) { fixture.ask(request("s$it")).grants.single() }
            assertTrue(shorts.none { it.primary.upstream == long.primary.upstream })
            assertTrue(shorts.all { it.priority < long.priority })
        }
    }

    @Nested
    inner class Reports {
        /**
         * Guards against an engine with unknown backlog that looks free, and against old reports replacing newer ones.
         */
        @Test
        fun `corrects the load by reports that arrive late or out of order`() {
            val fixture = LedgerFixture()
            fixture.ask(request("a", promptTokens = 10_000))
            assertEquals(1_000, fixture.view().shortWaitMs)
            val behind = fixture.reports.getValue("e0").copy(load = UpstreamLoad(1, 40_000), sequence = 1_000)
            fixture.send(LedgerInput.UpstreamReported(behind))
            // The report may be a second old, and the engine prefills 10,000 tokens in a second.
            assertEquals(3_000, fixture.view().shortWaitMs)
            fixture.send(LedgerInput.UpstreamReported(behind.copy(load = UpstreamLoad(1, 90_000), sequence = 999)))
            assertEquals(3_000, fixture.view().shortWaitMs)
            fixture.nowMs += 2_100
            fixture.send(LedgerInput.UpstreamReported(behind.copy(load = UpstreamLoad(), sequence = 1_001)))
            assertEquals(0, fixture.view().shortWaitMs)
        }
    }
}
