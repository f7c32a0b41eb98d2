package samphirechute.state.order

import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.command.Command
import samphirechute.state.command.UpstreamOrder
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class OrderDispatcherSpec {
    private val settings = OrderSettings(loadsPerMinute = 60.0, loadBurst = 2.0, maxAttempts = 3)
    private var giver = OrderDispatcher(settings, Random(SEED))
    private var nowMs = 0L
    private val sent = mutableListOf<Pair<Long, OrderOutput.Send>>()
    private val committed = mutableListOf<Command.FinishOrder>()
    private val role = UpstreamOrder.ChangeRole("prefill")
    private val load = UpstreamOrder.LoadModel("m", "2")

    private fun give(input: OrderInput): List<OrderOutput> {
        val outputs = giver.handle(input, nowMs)
        outputs.filterIsInstance<OrderOutput.Send>().mapTo(sent) { nowMs to it }
        outputs.filterIsInstance<OrderOutput.Commit>().mapTo(committed) { it.command }
        return outputs
    }

    private fun run(
        ms: Long,
        isConfirmed: Boolean = true,
    ) = repeat((ms / TICK_MS).toInt()) {
        nowMs += TICK_MS
        if (isConfirmed) give(OrderInput.LeaderLeaseExtended(nowMs + LEASE_MS))
        give(OrderInput.Ticked)
    }

    private fun lead(
        vararg unfinished: OrderRecord,
        checksFencing: Boolean = true,
    ) {
        for (id in listOf("u1", "u2", "u3", "u4")) {
            give(OrderInput.UpstreamSeen(UpstreamId(id), HostPort("127.0.0.1", 1), checksFencing))
        }
        give(OrderInput.LeadershipBegan(TERM, unfinished.toList()))
        give(OrderInput.LeaderLeaseExtended(nowMs + LEASE_MS))
    }

    private fun record(
        id: String,
        upstream: String = "u1",
        order: UpstreamOrder = role,
    ) = OrderRecord(OperationId(id), UpstreamId(upstream), order)

    private fun answer(
        id: String,
        answer: OrderAnswer,
        attempt: Int = 1,
    ) = give(OrderInput.Answered(OperationId(id), attempt, answer, "detail"))

    private val sentIds get() = sent.map { it.second.operationId.value }

    @Nested
    inner class Fencing {
        /** Guards against two leaders that give orders at once to an engine that ignores the fencing number. */
        @Test
        fun `the first order waits for the leader before, but not at engines that check the number`() {
            for ((checksFencing, waitMs) in listOf(true to 0L, false to FENCING_WAIT_MS)) {
                giver = OrderDispatcher(settings, Random(SEED))
                sent.clear()
                lead(record("a"), checksFencing = checksFencing)
                val beganMs = nowMs
                run(3_000)
                assertEquals(beganMs + waitMs, sent.single().first, "checks fencing: $checksFencing")
                assertEquals(TERM, sent.single().second.fencingNumber)
            }
        }

        /** Guards against a wait that is cut short by a jump of the clock. */
        @Test
        fun `a clock that jumps does not shorten the wait`() {
            lead(record("a"), checksFencing = false)
            nowMs += 60_000
            run(1_900)
            assertEquals(emptyList(), sentIds)
            run(300)
            assertEquals(listOf("a"), sentIds)
        }

        /** Guards against a deposed leader, or one that was paused, that still gives orders. */
        @Test
        fun `a leader that nobody confirms stops one margin before its lease ends`() {
            lead()
            run(LEASE_MS - LEADER_MARGIN_MS - TICK_MS, isConfirmed = false)
            assertTrue(giver.isGiving(nowMs))
            nowMs += TICK_MS
            assertFalse(giver.isGiving(nowMs))
            give(OrderInput.Issued(record("a")))
            run(5_000, isConfirmed = false)
            assertEquals(emptyList(), sentIds)
        }

        /** Guards against a leader that goes on after an engine has shown that there is a newer one. */
        @Test
        fun `a stale fencing number ends the leadership`() {
            lead(record("a"), record("b", "u2"))
            val outputs = answer("a", OrderAnswer.STALE_FENCING)
            give(OrderInput.Issued(record("c", "u3")))
            run(10_000)
            assertEquals(listOf<OrderOutput>(OrderOutput.Deposed(UpstreamId("u1"))), outputs)
            assertEquals(listOf("a", "b"), sentIds)
        }
    }

    @Nested
    inner class Sequence {
        /** Guards against an older order that a later leader repeats over a newer one. */
        @Test
        fun `an upstream has one order at a time until its end is committed`() {
            lead(record("a"))
            give(OrderInput.Issued(record("b")))
            answer("a", OrderAnswer.DONE)
            run(1_000)
            assertEquals(listOf("a"), sentIds)
            assertEquals(Command.FinishOrder(OperationId("a"), true, "detail"), committed.first())
            give(OrderInput.Finished(OperationId("a")))
            run(100)
            assertEquals(listOf("a", "b"), sentIds)
        }

        /** Guards against orders that are lost with their leader. */
        @Test
        fun `a new leader sends unfinished orders again, and the result again until it is committed`() {
            lead(record("a"))
            give(OrderInput.LeadershipEnded)
            lead(record("a"))
            assertEquals(listOf("a", "a"), sentIds)
            answer("a", OrderAnswer.FAILED)
            run(5_000)
            assertTrue(committed.size >= 2)
            assertEquals(setOf(Command.FinishOrder(OperationId("a"), false, "detail")), committed.toSet())
        }

        /** Guards against an answer of an earlier attempt that ends a later one, and against endless attempts. */
        @Test
        fun `lost answers lead to more attempts up to the limit, and only failures of the latest count`() {
            lead(record("a"))
            answer("a", OrderAnswer.UNKNOWN)
            run(5_000)
            assertEquals(2, sent.size)
            answer("a", OrderAnswer.FAILED, attempt = 1)
            run(1_000)
            assertEquals(emptyList(), committed)
            run(1_000_000)
            assertEquals(settings.maxAttempts, sent.size)
            assertFalse(committed.first().isDone)
        }
    }

    @Nested
    inner class Rate {
        /** Guards against loads beyond what the weight store allows, over a change of leader too. */
        @Test
        fun `loads keep within the rate, and other orders are not held up`() {
            lead(record("a", "u1", load), record("b", "u2", load), record("c", "u3", load), record("d", "u4"))
            assertEquals(listOf("d"), sentIds)
            run(2_500)
            assertEquals(listOf("d", "a", "b"), sentIds)
            nowMs += 600_000
            lead(record("a", "u1", load), record("b", "u2", load), record("c", "u3", load))
            assertEquals(3, sent.size)
        }
    }

    private companion object {
        const val SEED = 3L
        const val TERM = 5L
        const val TICK_MS = 100L
        const val LEASE_MS = 2_000L
    }
}
