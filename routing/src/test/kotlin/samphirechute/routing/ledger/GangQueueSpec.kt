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
        /** Guards against a gang that holds some engines while it waits for others. */
        @Test
        fun `takes all engines or none`() {
            val fixture = LedgerFixture(engines = 3)
            val first = fixture.ask(gang("g1", 180_000)).grants.single()
            assertEquals(180_100, first.parts.sumOf { it.memoryTokens })
            assertEquals(listOf(180_000L, 0L), first.parts.map { it.prefillTokens })
            assertEquals(emptyList(), fixture.ask(gang("g2")))
            assertEquals(180_100, fixture.ledger.views(fixture.nowMs).sumOf { it.usedMemoryTokens })
            assertEquals(listOf("g2"), fixture.release(first).grantedIds)
        }

        /** Guards against a gang that starves because each engine it needs is given away again. */
        @Test
        fun `blocks new long work from the engines it waits for`() {
            val fixture = LedgerFixture(engines = 2)
            val long = fixture.ask(long("l1")).grants.single()
            fixture.advance(7_000, renewing = listOf(long))
            assertEquals(emptyList(), fixture.ask(gang("g")))
            assertEquals(emptyList(), fixture.ask(long("l2")))
            assertEquals(listOf("g"), fixture.release(long).grantedIds)
        }

        /** Guards against short requests that keep the memory a gang needs, and against stopping them at once. */
        @Test
        fun `blocks short work only after it has waited for a while`() {
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
        /** Guards against parts of a gang that stay reserved on one of its engines, however it ends. */
        @Test
        fun `gives everything back`() {
            for (ending in GrantEnding.entries) {
                val fixture = LedgerFixture(engines = 2)
                val grant = fixture.ask(gang("g")).grants.single()
                val held = { part: Int -> mapOf(grant.key.requestId to grant.parts[part].memoryTokens) }
                fixture.advance(1_000, renewing = listOf(grant))
                fixture.release(grant, ending)
                fixture.advance(3_000)
                assertEquals(0, fixture.ledger.views(fixture.nowMs).sumOf { it.usedMemoryTokens }, "$ending")
                // An engine that still lists its part long after is told to cancel it.
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

        /** Guards against engines kept from other work for a gang that has given up, and an endless wait. */
        @Test
        fun `frees what it collected when it is withdrawn or has waited too long`() {
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

        /** Guards against parts that a new coordinator learns of before their engines have reported. */
        @Test
        fun `enters a gang of an earlier epoch when its engines report`() {
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
