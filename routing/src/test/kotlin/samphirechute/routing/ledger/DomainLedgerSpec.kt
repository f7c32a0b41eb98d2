package samphirechute.routing.ledger

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import samphirechute.core.service.Urgency
import samphirechute.routing.GrantEnding
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamCapacity
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.ledger.LedgerFixture.Companion.INSTANCE
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DomainLedgerSpec {
    @Nested
    inner class Granting {
        /** Guards against grants by an instance whose lease has ended, or that may not know all existing grants yet. */
        @Test
        fun `grants only while the epoch is held and after the learning time`() {
            val fixture = LedgerFixture()
            fixture.send(LedgerInput.EpochEnded)
            assertEquals(
                RefusalReason.NOT_COORDINATOR,
                fixture
                    .ask(request("a"))
                    .refusals
                    .single()
                    .reason,
            )
            fixture.send(LedgerInput.EpochBegan(2))
            fixture.report("e0")
            assertEquals(emptyList(), fixture.ask(request("b")))
            assertEquals(emptyList(), fixture.advance(950).grants)
            assertEquals(listOf("b"), fixture.advance(50).grantedIds)
            fixture.send(LedgerInput.EpochEnded)
            assertEquals(
                RefusalReason.NOT_COORDINATOR,
                fixture
                    .ask(request("c"))
                    .refusals
                    .single()
                    .reason,
            )
        }

        /**
         * Guards against overloading one engine while others are idle, and against exceeding the limits of an engine.
         */
        @Test
        fun `spreads requests over engines up to their concurrency and memory`() {
            val rows = listOf(request("x") to 16, request("x", promptTokens = 30_000) to 6)
            for ((sample, admitted) in rows) {
                val fixture = LedgerFixture(engines = 2)
                repeat(20) {
                    fixture.ask(request("r$it", promptTokens = sample.promptTokens, firstTokenMs = 100_000))
                    fixture.advance(3_200, renewing = fixture.outputs.grants)
                }
                val perEngine =
                    fixture.outputs.grants
                        .groupingBy { it.primary.upstream }
                        .eachCount()
                assertEquals(setOf(admitted / 2), perEngine.values.toSet(), "${sample.promptTokens}")
            }
        }

        /** Guards against a second grant for one attempt when the reply to the first request was lost. */
        @Test
        fun `answers a repeated request with the existing grant`() {
            val fixture = LedgerFixture()
            val first = fixture.ask(request("a")).grants
            assertEquals(first, fixture.ask(request("a")).grants)
            assertEquals(1, fixture.view().running)
        }

        /** Guards against a refusal with the wrong reason, and against queueing a request that cannot be served. */
        @Test
        fun `refuses at once what cannot be served`() {
            val rows =
                listOf(
                    request("unknown").copy(excluded = setOf(UpstreamId("e0"))) to RefusalReason.NO_UPSTREAM,
                    request("late", promptTokens = 20_000, firstTokenMs = 1_000) to RefusalReason.TOO_LATE,
                    request("slow", maxTokens = 1_000, remainingMs = 2_000) to RefusalReason.TOO_LATE,
                    request("large", promptTokens = 150_000) to RefusalReason.TOO_LARGE,
                )
            for ((request, reason) in rows) {
                val refusal = LedgerFixture().ask(request).refusals.single()
                assertEquals(reason, refusal.reason, request.requestId.value)
                assertTrue(refusal.retryAfterMs > 0)
            }
        }
    }

    @Nested
    inner class Queueing {
        private val serial = ENGINE.copy(maxConcurrency = 1, coldConcurrency = 1)

        /** Guards against running less urgent requests first, and against starving them forever. */
        @Test
        fun `serves urgent classes first and lets waiting requests age`() {
            val fixture = LedgerFixture(capacity = serial)
            val running = fixture.ask(request("running")).grants.single()
            for (urgency in Urgency.entries.reversed()) fixture.ask(request(urgency.name, urgency = urgency))
            assertEquals(listOf("INTERACTIVE"), fixture.release(running).grantedIds)
            fixture.advance(4_050, renewing = fixture.outputs.grants)
            fixture.ask(request("fresh", urgency = Urgency.INTERACTIVE, firstTokenMs = 60_000))
            val order = List(3) { fixture.release(fixture.outputs.grants.last()).grantedIds.single() }
            assertEquals(listOf("BACKGROUND", "NORMAL", "fresh").sorted(), order.sorted())
            assertTrue(order.indexOf("BACKGROUND") < 2, "$order")
        }

        /** Guards against a team whose many requests delay those of another team beyond their shares. */
        @Test
        fun `serves teams in proportion to their shares in tokens`() {
            val fixture = LedgerFixture(capacity = serial)
            fixture.ask(request("running", team = "z"))
            repeat(12) { fixture.ask(request("a$it", team = "a", firstTokenMs = 60_000)) }
            repeat(12) { fixture.ask(request("b$it", team = "b", share = 3, firstTokenMs = 60_000)) }
            repeat(8) { fixture.release(fixture.outputs.grants.last()) }
            val teams =
                fixture.outputs.grantedIds
                    .drop(1)
                    .map { it.first() }
            assertEquals(mapOf('a' to 2, 'b' to 6), teams.groupingBy { it }.eachCount())
        }

        /** Guards against refusing a request only near its deadline although its lateness was certain earlier. */
        @Test
        fun `refuses a waiting request as soon as it cannot be in time`() {
            val fixture = LedgerFixture(capacity = serial)
            fixture.ask(request("running"))
            fixture.ask(request("waiting", promptTokens = 5_000, firstTokenMs = 3_000))
            val early = fixture.advance(2_400, renewing = fixture.outputs.grants)
            assertEquals(emptyList(), early.refusals)
            val refusal = fixture.advance(100).refusals.single()
            assertEquals("waiting" to RefusalReason.TOO_LATE, refusal.key.requestId.value to refusal.reason)
        }
    }

    @Nested
    inner class Leases {
        /** Guards against memory that stays reserved for a dead holder, and against counting it as free too early. */
        @Test
        fun `reclaims a grant that is not renewed and frees its memory when the engine reports it free`() {
            val fixture = LedgerFixture()
            val grant = fixture.ask(request("a", promptTokens = 50_000, firstTokenMs = 20_000)).grants.single()
            fixture.report("e0") { copy(load = UpstreamLoad(1, 0, 50_000, mapOf(grant.key.requestId to 50_000L))) }
            assertEquals(emptyList(), fixture.advance(1_950).reclaims)
            assertEquals(
                "a",
                fixture
                    .advance(250)
                    .reclaims
                    .single()
                    .requestId.value,
            )
            fixture.advance(3_000)
            assertTrue(fixture.view().usedMemoryTokens >= 50_000)
            fixture.report("e0") { copy(load = UpstreamLoad()) }
            fixture.report("e0")
            assertEquals(0, fixture.view().usedMemoryTokens)
        }

        /** Guards against cancelling work that its holder still runs. */
        @Test
        fun `keeps a renewed grant and ends one that its holder does not list`() {
            val fixture = LedgerFixture()
            val (kept, unused) = listOf("a", "b").map { fixture.ask(request(it)).grants.single() }
            val reclaimed = fixture.advance(1_500, renewing = listOf(kept)).reclaims
            assertEquals(listOf(unused.key.requestId), reclaimed.map { it.requestId })
            val later = fixture.advance(5_000, renewing = listOf(kept)).reclaims
            assertEquals(emptyList(), later.filter { it.requestId == kept.key.requestId })
        }

        /** Guards against a new coordinator that considers engines free because it does not know their grants. */
        @Test
        fun `takes over the grants of an earlier epoch`() {
            val fixture = LedgerFixture()
            val grant = fixture.ask(request("a", promptTokens = 50_000, firstTokenMs = 20_000)).grants.single()
            fixture.send(LedgerInput.EpochBegan(2))
            assertEquals(0, fixture.view().running)
            fixture.send(LedgerInput.GrantsRenewed(INSTANCE, listOf(grant)))
            assertEquals(1 to 50_100L, fixture.view().let { it.running to it.usedMemoryTokens })
            fixture.release(grant)
            assertEquals(0, fixture.view().running)
        }

        /** Guards against memory that an engine keeps for a request without a holder. */
        @Test
        fun `reclaims memory of a request without a grant`() {
            val fixture = LedgerFixture()
            val lost = request("lost").requestId
            fixture.report("e0") { copy(load = UpstreamLoad(1, 0, 7_000, mapOf(lost to 7_000L))) }
            assertEquals(7_000, fixture.view().usedMemoryTokens)
            assertEquals(listOf(lost), fixture.advance(2_200).reclaims.map { it.requestId })
        }
    }

    @Nested
    inner class Drains {
        /** Guards against new work on an upstream that is drained, leaving or silent. */
        @Test
        fun `issues no grant on upstreams that are out of service`() {
            val rows =
                listOf<Pair<(LedgerFixture) -> Unit, RefusalReason>>(
                    { it: LedgerFixture ->
                        it.send(LedgerInput.DrainsChanged(setOf(UpstreamId("e0")), false))
                        Unit
                    } to RefusalReason.DRAINED,
                    { it: LedgerFixture ->
                        it.send(LedgerInput.DrainsChanged(emptySet(), true))
                        Unit
                    } to RefusalReason.DRAINED,
                    { it: LedgerFixture ->
                        it.report("e0") { copy(isLeaving = true) }
                        Unit
                    } to RefusalReason.DRAINED,
                    { it: LedgerFixture ->
                        it.advance(3_500, isReporting = false)
                        Unit
                    } to RefusalReason.NO_UPSTREAM,
                )
            for ((index, row) in rows.withIndex()) {
                val fixture = LedgerFixture()
                row.first(fixture)
                assertEquals(
                    row.second,
                    fixture
                        .ask(request("a"))
                        .refusals
                        .single()
                        .reason,
                    "row $index",
                )
                assertEquals(emptyMap(), fixture.ledger.digest(fixture.nowMs).filterValues { it.upstreams > 0 })
            }
        }
    }

    @Nested
    inner class Applications {
        /** Guards against applying the memory and prefill limits of engines to an application, which has neither. */
        @Test
        fun `limits only the concurrency of an application`() {
            val capacity = UpstreamCapacity(maxConcurrency = 2, coldConcurrency = 2)
            val fixture = LedgerFixture(capacity = capacity, kind = UpstreamKind.APPLICATION)
            val asked = List(3) { fixture.ask(request("r$it", promptTokens = 9_000_000, maxTokens = 0)).grants }
            assertEquals(listOf(1, 1, 0), asked.map { it.size })
            val next = fixture.release(asked[0].single(), GrantEnding.COMPLETED)
            assertEquals(listOf("r2"), next.grantedIds)
        }

        /** Guards against requests that wait until their deadline although the queue is predictably too long. */
        @Test
        fun `refuses a request at once when the queue is too long`() {
            val capacity = UpstreamCapacity(maxConcurrency = 1, coldConcurrency = 1)
            val fixture = LedgerFixture(capacity = capacity, kind = UpstreamKind.APPLICATION)
            fixture.release(fixture.ask(request("slow", maxTokens = 0)).grants.single(), firstTokenMs = 1_000)
            fixture.advance(100)
            val asked = List(12) { fixture.ask(request("r$it", maxTokens = 0, firstTokenMs = 5_000)) }
            val refused = asked.flatMap { it.refusals }
            assertTrue(refused.size in 6..9, "$refused")
            assertEquals(setOf(RefusalReason.TOO_LATE), refused.map { it.reason }.toSet())
        }

        /** Guards against refusing all requests forever after a slow phase. */
        @Test
        fun `tries an idle application again after it was slow`() {
            val capacity = UpstreamCapacity(maxConcurrency = 2, coldConcurrency = 2)
            val fixture = LedgerFixture(capacity = capacity, kind = UpstreamKind.APPLICATION)
            fixture.release(fixture.ask(request("slow", maxTokens = 0)).grants.single(), firstTokenMs = 20_000)
            assertEquals(listOf("next"), fixture.ask(request("next", maxTokens = 0)).grantedIds)
            assertEquals(
                RefusalReason.TOO_LATE,
                fixture
                    .ask(request("beside", maxTokens = 0))
                    .refusals
                    .single()
                    .reason,
            )
        }
    }
}
