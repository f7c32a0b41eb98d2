package samphirechute.serving.control

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.time.VirtualTimer
import samphirechute.serving.cluster.CommandReply
import samphirechute.serving.cluster.CommandStatus
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import kotlin.test.Test
import kotlin.test.assertEquals

class DrainOrdersSpec {
    private val domain = FailureDomain("fd-1")
    private val timer = VirtualTimer()
    private val reads = ArrayDeque<(DrainedDomains?) -> Unit>()
    private val commands = mutableListOf<Command.SetDrain>()
    private val replies = ArrayDeque<(CommandReply) -> Unit>()
    private val results = mutableListOf<Boolean>()
    private var isAbandoned = false
    private val orders =
        DrainOrders(timer, reads::addLast) { command, _, onReply ->
            commands += command as Command.SetDrain
            replies += onReply
        }

    private fun carryOut(isDrained: Boolean) =
        orders.carryOut(DrainOrder(domain, isDrained) { isAbandoned }, results::add)

    private fun notDrained(version: Long) = DrainedDomains(version, emptySet())

    private fun drained(version: Long) = DrainedDomains(version, setOf(domain))

    @Nested
    inner class Callers {
        /** Guards against an order that was read late, after later ones had been carried out. */
        @Test
        fun `that left before a majority answered get nothing carried out`() {
            carryOut(isDrained = false)
            isAbandoned = true
            reads.removeFirst()(drained(3))
            assertEquals(emptyList(), commands)
            assertEquals(listOf(false), results)
        }

        @Test
        fun `that left get no second attempt`() {
            carryOut(isDrained = true)
            reads.removeFirst()(notDrained(3))
            replies.removeFirst()(CommandReply(CommandStatus.UNKNOWN))
            isAbandoned = true
            timer.advanceBy(1_000)
            assertEquals(1, commands.size)
            assertEquals(listOf(false), results)
        }
    }

    @Nested
    inner class Versions {
        @Test
        fun `of the confirmed drains go with the order, and a later change makes it ask again`() {
            carryOut(isDrained = true)
            reads.removeFirst()(notDrained(3))
            replies.removeFirst()(CommandReply(CommandStatus.COMMITTED, CommandResult.Rejected("drains_changed", "")))
            reads.removeFirst()(notDrained(5))
            replies.removeFirst()(CommandReply(CommandStatus.COMMITTED, CommandResult.Drained(6)))
            assertEquals(listOf<Long?>(3, 5), commands.map { it.baseVersion })
            assertEquals(listOf(true), results)
        }

        @Test
        fun `in which the order is in force already need no command`() {
            carryOut(isDrained = true)
            reads.removeFirst()(drained(3))
            assertEquals(emptyList(), commands)
            assertEquals(listOf(true), results)
        }
    }

    @Nested
    inner class Majorities {
        @Test
        fun `that do not answer in time leave the order unacknowledged`() {
            carryOut(isDrained = true)
            while (results.isEmpty()) {
                reads.removeFirst()(null)
                timer.advanceBy(100)
            }
            assertEquals(emptyList(), commands)
            assertEquals(listOf(false), results)
        }
    }
}
