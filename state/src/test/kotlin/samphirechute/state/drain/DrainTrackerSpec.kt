package samphirechute.state.drain

import org.junit.jupiter.api.Nested
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DrainTrackerSpec {
    private val drains = DrainTracker(Random(1))
    private val target = DrainTarget.Upstream(UpstreamId("u"))
    private val operation = OperationId("op")
    private val ordered = DrainInput.Ordered(operation, target)
    private val committed = mutableListOf<Pair<Long, Command.SetDrain>>()

    private fun feed(
        input: DrainInput,
        nowMs: Long = 0,
    ) = drains.handle(input, nowMs).also { outputs ->
        outputs.filterIsInstance<DrainOutput.Commit>().mapTo(committed) { nowMs to it.command }
    }

    private fun applyRecord(
        version: Long,
        vararg targets: DrainTarget,
    ) = feed(DrainInput.RecordLearned(DrainRecord(version, targets.toSet())))

    private fun run(
        fromMs: Long,
        untilMs: Long,
    ) = (fromMs..untilMs step 100).forEach { feed(DrainInput.Ticked, it) }

    @Nested
    inner class Overlay {
        /** Guards against an order that has no effect while no store member can be reached, or is never committed. */
        @Test
        fun `an order takes effect at once, and its commit is repeated until it is confirmed`() {
            val changed = feed(ordered).filterIsInstance<DrainOutput.Changed>()
            assertEquals(listOf(DrainOutput.Changed(setOf<DrainTarget>(target))), changed)
            feed(DrainInput.CommitFailed(operation), 10)
            run(100, 10_000)
            assertTrue(committed.size in 3..8, "commits $committed")
            assertEquals(setOf(Command.SetDrain(operation, target, true)), committed.map { it.second }.toSet())
            feed(DrainInput.CommandCommitted(operation, 3), 10_000)
            committed.clear()
            run(10_100, 30_000)
            assertEquals(emptyList(), committed)
            assertEquals(setOf<DrainTarget>(target), drains.targets)
        }

        /** Guards against an order that is lost when the instance that received it dies before the commit. */
        @Test
        fun `an instance commits an entry that it learned when the one that received the order has not`() {
            feed(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target))))
            run(0, 2_900)
            assertEquals(emptyList(), committed)
            run(3_000, 6_000)
            assertEquals(Command.SetDrain(operation, target, true), committed.first().second)
        }

        /** Guards against a target that returns to service without a committed undrain, or stays out despite one. */
        @Test
        fun `only a record at or after the committed version can put a target back into service`() {
            applyRecord(1)
            feed(ordered)
            applyRecord(2)
            assertEquals(setOf<DrainTarget>(target), drains.targets, "pending")
            feed(DrainInput.CommandCommitted(operation, 4))
            applyRecord(3)
            assertEquals(setOf<DrainTarget>(target), drains.targets, "the record is older than the commit")
            applyRecord(5)
            assertEquals(emptySet(), drains.targets)
            applyRecord(4, target)
            assertEquals(emptySet(), drains.targets, "an older record")
        }

        /** Guards against an instance that was cut off and drains again a target that was undrained in the meantime. */
        @Test
        fun `an entry known as committed never becomes pending again`() {
            applyRecord(5)
            feed(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target, committedVersion = 4))))
            feed(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target))))
            feed(ordered)
            run(0, 20_000)
            assertEquals(emptySet(), drains.targets)
            assertEquals(emptyList(), committed)
        }

        /** Guards against a drain that is committed after an undrain that was ordered later. */
        @Test
        fun `an undrain waits until pending drains of its target are committed`() {
            feed(ordered)
            val undrain = OperationId("back")
            feed(DrainInput.UndrainOrdered(undrain, target))
            assertEquals(listOf(true), committed.map { it.second.isDrained })
            feed(DrainInput.CommandCommitted(operation, 1))
            assertEquals(listOf(true, false), committed.map { it.second.isDrained })
            val outputs = feed(DrainInput.CommandCommitted(undrain, 2))
            assertEquals(listOf<DrainOutput>(DrainOutput.UndrainCommitted(undrain, 2)), outputs)
        }

        /** Guards against committed entries that grow without bound, or that differ by order of arrival. */
        @Test
        fun `the number of committed entries is bounded, and the kept ones do not depend on the order of arrival`() {
            val entries = (1L..1_000L).map { OverlayEntry(OperationId("op$it"), target, committedVersion = it) }
            val other = DrainTracker(Random(2))
            applyRecord(1_000)
            other.handle(DrainInput.RecordLearned(DrainRecord(1_000)), 0)
            feed(DrainInput.EntriesLearned(entries))
            other.handle(DrainInput.EntriesLearned(entries.shuffled(Random(3))), 0)
            assertEquals(256, drains.entries.size)
            assertEquals(drains.entriesHash, other.entriesHash)
        }
    }
}
