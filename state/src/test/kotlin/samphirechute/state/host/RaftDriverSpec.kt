package samphirechute.state.host

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.command.Command
import samphirechute.state.disk.MemoryFolder
import samphirechute.state.disk.StoreDisk
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftNode
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RaftDriverSpec {
    private val timer = VirtualTimer()
    private val folder = MemoryFolder()
    private val posted = LinkedBlockingQueue<() -> Unit>()
    private val self = InstanceId("a")
    private val driver = driver()
    private val committed = mutableListOf<Long>()

    /** A store of one member, which answers a proposal once its own disk has it. */
    private fun driver(): RaftDriver {
        val disk = StoreDisk.open(folder) { "disk-1" }
        return RaftDriver(timer, disk, posted::add, { _, _ -> }) {
            val member = disk.member(self, FailureDomain("fd"), HostPort("127.0.0.1", 1))
            RaftNode(member, setOf(self), disk.restored, Random(1), timer.nowMs())
        }
    }

    /** Runs the loop, which survives what its actions throw, until [isDone] or for [LIMIT_MS] of its time. */
    private fun runUntil(isDone: () -> Boolean): Boolean {
        val endMs = timer.nowMs() + LIMIT_MS
        while (!isDone() && timer.nowMs() < endMs) {
            val action = posted.poll(DISK_WAIT_MS, TimeUnit.MILLISECONDS)
            if (action == null) timer.advanceBy(STEP_MS) else runCatching(action)
        }
        return isDone()
    }

    private fun propose(
        revision: Long,
        then: () -> Unit = {},
    ) = driver.propose(Command.AdoptConfig(revision, "content $revision")) {
        assertIs<ProposalOutcome.Committed>(it)
        committed += revision
        then()
    }

    private fun revisionsOnDisk() =
        StoreDisk.open(folder) { "unused" }.use { disk ->
            disk.restored.entries.mapNotNull { (it.timed.command as? Command.AdoptConfig)?.revision }
        }

    @Nested
    inner class Callbacks {
        /** Guards against a write that is dropped because an answer before it throws, and counts as durable later. */
        @Test
        fun `a callback that throws stops none of the writes and answers behind it`() {
            driver.start()
            assertTrue(runUntil { driver.node.isLeader })
            propose(1) { error("a listener that fails") }
            propose(2)
            propose(3)
            assertTrue(runUntil { committed.size == 3 }, "committed $committed")
            driver.close()
            assertEquals(listOf(1L, 2L, 3L), revisionsOnDisk())
        }

        /** Guards against writes of a call from a callback that overtake those of the input before. */
        @Test
        fun `calls from callbacks are executed after the outputs that are under way`() {
            driver.start()
            assertTrue(runUntil { driver.node.isLeader })
            val order = mutableListOf<String>()
            propose(1) { driver.confirmedRead { order += "read" }.also { propose(2) { order += "two" } } }
            driver.confirmedRead { propose(3) { order += "three" } }
            assertTrue(runUntil { order.size == 3 }, "$order")
            driver.close()
            assertEquals(committed, revisionsOnDisk())
        }
    }

    private companion object {
        /** Several elections. */
        const val LIMIT_MS = 10_000L
        const val STEP_MS = 5L
        const val DISK_WAIT_MS = 5L
    }
}
