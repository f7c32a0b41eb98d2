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

    private fun give(
        input: DrainInput,
        nowMs: Long = 0,
    ) = drains.handle(input, nowMs).also { outputs ->
        outputs.filterIsInstance<DrainOutput.Commit>().mapTo(committed) { nowMs to it.command }
    }

    private fun learn(
        version: Long,
        vararg targets: DrainTarget,
    ) = give(DrainInput.RecordLearned(DrainRecord(version, targets.toSet())))

    private fun run(
        fromMs: Long,
        untilMs: Long,
    ) = (fromMs..untilMs step 100).forEach { give(DrainInput.Ticked, it) }

    @Nested
    inner class Overlay {
        /** Guards against an order that has no effect while no store can be reached, or is not committed later. */
        @Test
        fun `an order takes effect at once and is committed until that is known`() {
            val changed = give(ordered).filterIsInstance<DrainOutput.Changed>()
            assertEquals(listOf(DrainOutput.Changed(setOf<DrainTarget>(target))), changed)
            give(DrainInput.CommitFailed(operation), 10)
            run(100, 10_000)
            assertTrue(committed.size in 3..8, "commits $committed")
            assertEquals(setOf(Command.SetDrain(operation, target, true)), committed.map { it.second }.toSet())
            give(DrainInput.CommandCommitted(operation, 3), 10_000)
            committed.clear()
            run(10_100, 30_000)
            assertEquals(emptyList(), committed)
            assertEquals(setOf<DrainTarget>(target), drains.targets)
        }

        /** Guards against an order that is lost when the instance that was given it dies before it commits. */
        @Test
        fun `an instance that learned an entry commits it when the first one has not`() {
            give(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target))))
            run(0, 2_900)
            assertEquals(emptyList(), committed)
            run(3_000, 6_000)
            assertEquals(Command.SetDrain(operation, target, true), committed.first().second)
        }

        /** Guards against a target that comes back by anything but a committed undrain, or does not by one. */
        @Test
        fun `only a record from after the commit can bring a target back`() {
            learn(1)
            give(ordered)
            learn(2)
            assertEquals(setOf<DrainTarget>(target), drains.targets, "pending")
            give(DrainInput.CommandCommitted(operation, 4))
            learn(3)
            assertEquals(setOf<DrainTarget>(target), drains.targets, "the record is older than the commit")
            learn(5)
            assertEquals(emptySet(), drains.targets)
            learn(4, target)
            assertEquals(emptySet(), drains.targets, "an older record")
        }

        /** Guards against an instance that was cut off and drains again what was undrained meanwhile. */
        @Test
        fun `an entry known as settled stays settled`() {
            learn(5)
            give(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target, settledVersion = 4))))
            give(DrainInput.EntriesLearned(listOf(OverlayEntry(operation, target))))
            give(ordered)
            run(0, 20_000)
            assertEquals(emptySet(), drains.targets)
            assertEquals(emptyList(), committed)
        }

        /** Guards against a drain that is committed after the undrain that was ordered later. */
        @Test
        fun `an undrain waits for pending entries of its target`() {
            give(ordered)
            val undrain = OperationId("back")
            give(DrainInput.UndrainOrdered(undrain, target))
            assertEquals(listOf(true), committed.map { it.second.isDrained })
            give(DrainInput.CommandCommitted(operation, 1))
            assertEquals(listOf(true, false), committed.map { it.second.isDrained })
            val settled = give(DrainInput.CommandCommitted(undrain, 2))
            assertEquals(listOf<DrainOutput>(DrainOutput.UndrainCommitted(undrain, 2)), settled)
        }

        /** Guards against a table of settled entries that grows without bound, or differs by order of arrival. */
        @Test
        fun `settled entries are bounded, and equal whatever the order of arrival`() {
            val entries = (1L..1_000L).map { OverlayEntry(OperationId("op$it"), target, settledVersion = it) }
            val other = DrainTracker(Random(2))
            learn(1_000)
            other.handle(DrainInput.RecordLearned(DrainRecord(1_000)), 0)
            give(DrainInput.EntriesLearned(entries))
            other.handle(DrainInput.EntriesLearned(entries.shuffled(Random(3))), 0)
            assertEquals(256, drains.entries.size)
            assertEquals(drains.entriesHash, other.entriesHash)
        }
    }
}
