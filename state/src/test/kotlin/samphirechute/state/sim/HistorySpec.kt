package samphirechute.state.sim

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RestoredLog
import samphirechute.state.store.StoreState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HistorySpec {
    private val a = InstanceId("a")
    private val b = InstanceId("b")
    private val key = ClaimKey(TeamName("t"), ServiceName("s"), RequestId("r"))
    private val published = ProposalOutcome.Committed(3, CommandResult.Published(2))

    private fun entry(
        index: Long,
        term: Long = 1,
    ) = AppliedEntry(index, term, Command.Noop, CommandResult.Done)

    @Nested
    inner class Events {
        /** Guards against a checker that passes everything. */
        @Test
        fun `each planted fault is found, and a sound history has none`() {
            val rows: List<Pair<String?, History.() -> List<StoreState>>> =
                listOf(
                    null to {
                        ran(key)
                        answered(published)
                        read(a, StoreState(index = 3, revision = 2))
                        listOf(StoreState(index = 3, revision = 2))
                    },
                    null to {
                        ran(key)
                        releasedUnrun(key)
                        ran(key)
                        emptyList()
                    },
                    "ran 2 times" to {
                        ran(key)
                        ran(key)
                        emptyList()
                    },
                    "read revision 1" to {
                        answered(published)
                        read(a, StoreState(index = 4, revision = 1))
                        emptyList()
                    },
                    "read revision 1" to {
                        read(a, StoreState(revision = 2))
                        read(b, StoreState(revision = 1))
                        emptyList()
                    },
                    "revision fell" to {
                        answered(published)
                        listOf(StoreState(index = 3, revision = 1))
                    },
                    "entry 3 is lost" to {
                        answered(published)
                        listOf(StoreState(index = 2, revision = 2))
                    },
                    "another result" to {
                        applied(a, 1, entry(3))
                        answered(published)
                        emptyList()
                    },
                    "another entry" to {
                        applied(a, 1, entry(1))
                        applied(b, 1, entry(1, term = 2))
                        emptyList()
                    },
                    "two leaders" to {
                        led(a, 1)
                        led(b, 1)
                        emptyList()
                    },
                    "applied 3 after 1" to {
                        applied(a, 1, entry(1))
                        applied(a, 1, entry(3))
                        emptyList()
                    },
                    "different states" to { listOf(StoreState(), StoreState(index = 1)) },
                )
            for ((expected, plant) in rows) {
                val history = History { 0 }
                val faults = history.faults(history.plant())
                if (expected == null) assertEquals(emptyList(), faults)
                if (expected != null) assertTrue(faults.any { expected in it }, "'$expected' is not in $faults")
            }
        }
    }

    @Nested
    inner class Schedules {
        /** Guards against schedules so mild that a disk which forgets acknowledged writes goes unnoticed. */
        @Test
        fun `random schedules expose disks that lose what they acknowledged`() {
            val exposed = (1L..200L).count { RandomSchedule(it, ::ForgetfulDisk).run().isNotEmpty() }
            assertTrue(exposed > 20, "$exposed of 200 schedules found the planted fault")
        }

        /** Guards against a history that is not fed: a caller that runs without an accepted claim must be found. */
        @Test
        fun `random schedules expose callers that run on another's claim`() {
            val exposed =
                (1L..50L).count {
                    RandomSchedule(it, isHasty = true).run().any { fault ->
                        "ran 2 times" in
                            fault
                    }
                }
            assertTrue(exposed > 10, "$exposed of 50 schedules found the planted fault")
        }
    }

    /** Loses its last entries whenever power is lost, although it acknowledged them. */
    private class ForgetfulDisk : SimDisk {
        private val disk = ValueDisk()
        private var lost = 0

        override fun write(write: DiskWrite) = disk.write(write)

        override fun crash(
            pending: List<DiskWrite>,
            random: Random,
        ) {
            lost += 2
        }

        override fun restore(): RestoredLog = disk.restore().let { it.copy(entries = it.entries.dropLast(lost)) }
    }
}
