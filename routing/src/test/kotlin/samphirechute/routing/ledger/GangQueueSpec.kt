package samphirechute.routing.ledger

import org.junit.jupiter.api.Nested
import samphirechute.routing.GrantEnding
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GangQueueSpec {
    private fun gang(
        id: String,
        promptTokens: Long = 150_000,
    ) = request(id, promptTokens, firstTokenMs = 100_000, remainingMs = 400_000)

    private fun long(id: String) = request(id, promptTokens = 60_000, firstTokenMs = 100_000, remainingMs = 400_000)

    @Nested
    inner class Reserving {
        /** Guards against a gang that occupies some engines while it waits for others. */
        @Test
        fun `allocates all engines of a gang or none`() {
            val fixture = LedgerFixture(engines = 3)
            val first = fixture.ask(gang("g1", 180_000)).grants.single()
            assertEquals(180_100, first.parts.sumOf { it.memoryTokens })
            assertEquals(listOf(180_000L, 0L), first.parts.map { it.prefillTokens })
            assertEquals(emptyList(), fixture.ask(gang("g2")))
            assertEquals(180_100, fixture.ledger.views(fixture.nowMs).sumOf { it.usedMemoryTokens })
            assertEquals(listOf("g2"), fixture.release(first).grantedIds)
        }

        /** Guards against a gang that starves because other work keeps taking the engines that it needs. */
        @Test
        fun `keeps new long prompts away from the engines that a gang waits for`() {
            val fixture = LedgerFixture(engines = 2)
            val long = fixture.ask(long("l1")).grants.single()
            fixture.advance(7_000, renewing = listOf(long))
            assertEquals(emptyList(), fixture.ask(gang("g")))
            assertEquals(emptyList(), fixture.ask(long("l2")))
            assertEquals(listOf("g"), fixture.release(long).grantedIds)
        }

        /** Guards against short prompts that occupy the memory a gang needs, and against blocking them too early. */
        @Test
        fun `blocks short prompts only after the gang has waited for a while`() {
            val fixture = LedgerFixture(engines = 2)
            val held = fixture.ask(long("l1")).grants
            fixture.ask(gang("g", 190_000))
            assertEquals(listOf("s1"), fixture.ask(request("s1")).grantedIds)
            fixture.advance(3_000, renewing = held)
            assertEquals(emptyList(), fixture.ask(request("s2")).grants)
        }
    }

    @Nested
    inner class Ending {
        /** Guards against a part of a gang that stays reserved on one of its engines. */
        @Test
        fun `frees all parts of a gang however it ends`() {
            for (ending in GrantEnding.entries) {
                val fixture = LedgerFixture(engines = 2)
                val grant = fixture.ask(gang("g")).grants.single()
                val held = { part: Int -> mapOf(grant.key.requestId to grant.parts[part].memoryTokens) }
                fixture.advance(1_000, renewing = listOf(grant))
                fixture.release(grant, ending)
                fixture.advance(3_000)
                assertEquals(0, fixture.ledger.views(fixture.nowMs).sumOf { it.usedMemoryTokens }, "$ending")
                // An engine that still lists its part much later is asked to cancel it.
                grant.parts.forEachIndexed { index, part ->
                    fixture.report(part.upstream.value) { copy(load = UpstreamLoad(1, 0, 0, held(index))) }
                }
                assertEquals(
                    2,
                    fixture
                        .advance(2_400)
                        .reclaims
                        .distinct()
                        .size,
                    "$ending",
                )
            }
        }

        /** Guards against engines that stay reserved for a withdrawn gang, and against an endless wait. */
        @Test
        fun `frees the reserved engines when a gang is withdrawn or has waited too long`() {
            val rows =
                listOf<(LedgerFixture) -> Unit>(
                    { it.send(gang("g").withdrawn) },
                    { it.advance(100_000, renewing = it.outputs.grants) },
                )
            for ((index, row) in rows.withIndex()) {
                val fixture = LedgerFixture(engines = 2)
                fixture.ask(long("l1"))
                fixture.advance(7_000, renewing = fixture.outputs.grants)
                fixture.ask(gang("g"))
                row(fixture)
                val refused = fixture.outputs.refusals.map { it.reason }
                assertTrue(refused.isEmpty() || refused == listOf(RefusalReason.TOO_LATE), "row $index: $refused")
                assertEquals(listOf("l2"), fixture.ask(long("l2")).grantedIds, "row $index")
            }
        }

        /**
         * Guards against losing the parts of a grant that is renewed before its engines report to a new coordinator.
         */
        @Test
        fun `takes over a gang of an earlier epoch when its engines report`() {
            val grant = LedgerFixture(engines = 2).ask(gang("g")).grants.single()
            val successor = DomainLedger()
            successor.handle(LedgerInput.EpochBegan(2), 0)
            successor.handle(LedgerInput.GrantsRenewed(grant.key.instance, listOf(grant)), 10)
            LedgerFixture(engines = 2).reports.values.forEach { successor.handle(LedgerInput.UpstreamReported(it), 20) }
            successor.handle(LedgerInput.GrantsRenewed(grant.key.instance, listOf(grant)), 500)
            assertEquals(150_100, successor.views(500).sumOf { it.usedMemoryTokens })
        }
    }
}
