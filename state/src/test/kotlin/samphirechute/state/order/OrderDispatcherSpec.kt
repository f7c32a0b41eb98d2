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
    private var dispatcher = OrderDispatcher(settings, Random(SEED))
    private var nowMs = 0L
    private val sent = mutableListOf<Pair<Long, OrderOutput.Send>>()
    private val committed = mutableListOf<Command.FinishOrder>()
    private val role = UpstreamOrder.ChangeRole("prefill")
    private val load = UpstreamOrder.LoadModel("m", "2")

    private fun feed(input: OrderInput): List<OrderOutput> {
        val outputs = dispatcher.handle(input, nowMs)
        outputs.filterIsInstance<OrderOutput.Send>().mapTo(sent) { nowMs to it }
        outputs.filterIsInstance<OrderOutput.Commit>().mapTo(committed) { it.command }
        return outputs
    }

    private fun run(
        ms: Long,
        isConfirmed: Boolean = true,
    ) = repeat((ms / TICK_MS).toInt()) {
        nowMs += TICK_MS
        if (isConfirmed) feed(OrderInput.LeaderLeaseExtended(nowMs + LEASE_MS))
        feed(OrderInput.Ticked)
    }

    private fun becomeLeader(
        vararg unfinished: OrderRecord,
        checksFencing: Boolean = true,
    ) {
        for (id in listOf("u1", "u2", "u3", "u4")) {
            feed(OrderInput.UpstreamSeen(UpstreamId(id), HostPort("127.0.0.1", 1), checksFencing))
        }
        feed(OrderInput.LeadershipBegan(TERM, unfinished.toList()))
        feed(OrderInput.LeaderLeaseExtended(nowMs + LEASE_MS))
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
    ) = feed(OrderInput.Answered(OperationId(id), attempt, answer, "detail"))

    private val sentIds get() = sent.map { it.second.operationId.value }

    @Nested
    inner class Fencing {
        /** Guards against two leaders that send orders to an engine that ignores the fencing number. */
        @Test
        fun `the first order waits for the previous leader to stop unless the engine checks fencing numbers`() {
            for ((checksFencing, waitMs) in listOf(true to 0L, false to FENCING_WAIT_MS)) {
                dispatcher = OrderDispatcher(settings, Random(SEED))
                sent.clear()
                becomeLeader(record("a"), checksFencing = checksFencing)
                val beganMs = nowMs
                run(3_000)
                assertEquals(beganMs + waitMs, sent.single().first, "checks fencing: $checksFencing")
                assertEquals(TERM, sent.single().second.fencingNumber)
            }
        }

        /** Guards against a clock jump that shortens the wait for the previous leader. */
        @Test
        fun `a clock jump does not shorten the wait`() {
            becomeLeader(record("a"), checksFencing = false)
            nowMs += 60_000
            run(1_900)
            assertEquals(emptyList(), sentIds)
            run(300)
            assertEquals(listOf("a"), sentIds)
        }

        /** Guards against a deposed or paused leader that still sends orders. */
        @Test
        fun `a leader without confirmation stops sending one margin before its lease ends`() {
            becomeLeader()
            run(LEASE_MS - LEADER_MARGIN_MS - TICK_MS, isConfirmed = false)
            assertTrue(dispatcher.canSend(nowMs))
            nowMs += TICK_MS
            assertFalse(dispatcher.canSend(nowMs))
            feed(OrderInput.Issued(record("a")))
            run(5_000, isConfirmed = false)
            assertEquals(emptyList(), sentIds)
        }

        /** Guards against a leader that continues after an engine has shown that there is a newer one. */
        @Test
        fun `a stale fencing number ends the leadership`() {
            becomeLeader(record("a"), record("b", "u2"))
            val outputs = answer("a", OrderAnswer.STALE_FENCING)
            feed(OrderInput.Issued(record("c", "u3")))
            run(10_000)
            assertEquals(listOf<OrderOutput>(OrderOutput.Deposed(UpstreamId("u1"))), outputs)
            assertEquals(listOf("a", "b"), sentIds)
        }
    }

    @Nested
    inner class Sequence {
        /** Guards against a later leader that repeats an old order after a newer one. */
        @Test
        fun `an upstream gets its next order only after the result of the previous one is committed`() {
            becomeLeader(record("a"))
            feed(OrderInput.Issued(record("b")))
            answer("a", OrderAnswer.DONE)
            run(1_000)
            assertEquals(listOf("a"), sentIds)
            assertEquals(Command.FinishOrder(OperationId("a"), true, "detail"), committed.first())
            feed(OrderInput.Finished(OperationId("a")))
            run(100)
            assertEquals(listOf("a", "b"), sentIds)
        }

        /** Guards against orders that are lost with their leader. */
        @Test
        fun `a new leader sends unfinished orders again, and repeats the result until it is committed`() {
            becomeLeader(record("a"))
            feed(OrderInput.LeadershipEnded)
            becomeLeader(record("a"))
            assertEquals(listOf("a", "a"), sentIds)
            answer("a", OrderAnswer.FAILED)
            run(5_000)
            assertTrue(committed.size >= 2)
            assertEquals(setOf(Command.FinishOrder(OperationId("a"), false, "detail")), committed.toSet())
        }

        /** Guards against an answer to an earlier attempt that ends a later one, and against endless attempts. */
        @Test
        fun `lost answers cause retries up to the limit, and only a failure of the latest attempt counts`() {
            becomeLeader(record("a"))
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
        /** Guards against more loads than the weight store allows, also across a change of leader. */
        @Test
        fun `loads stay within the rate, and other orders are not delayed by it`() {
            becomeLeader(record("a", "u1", load), record("b", "u2", load), record("c", "u3", load), record("d", "u4"))
            assertEquals(listOf("d"), sentIds)
            run(2_500)
            assertEquals(listOf("d", "a", "b"), sentIds)
            nowMs += 600_000
            becomeLeader(record("a", "u1", load), record("b", "u2", load), record("c", "u3", load))
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
