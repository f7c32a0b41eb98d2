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
        /** Guards against a checker that accepts every history. */
        @Test
        fun `each planted violation is found, and a correct history has none`() {
            val rows: List<Pair<String?, History.() -> List<StoreState>>> =
                listOf(
                    null to {
                        recordRun(key)
                        recordOutcome(published)
                        recordReads(listOf(a to StoreState(index = 3, revision = 2)))
                        listOf(StoreState(index = 3, revision = 2))
                    },
                    null to {
                        recordRun(key)
                        recordRelease(key)
                        recordRun(key)
                        emptyList()
                    },
                    "ran 2 times" to {
                        recordRun(key)
                        recordRun(key)
                        emptyList()
                    },
                    "read revision 1" to {
                        recordOutcome(published)
                        recordReads(listOf(a to StoreState(index = 4, revision = 1)))
                        emptyList()
                    },
                    "read revision 1" to {
                        recordReads(listOf(a to StoreState(revision = 2)))
                        recordReads(listOf(b to StoreState(revision = 1)))
                        emptyList()
                    },
                    "serve reads at once" to {
                        recordReads(listOf(a to StoreState(), b to StoreState()))
                        emptyList()
                    },
                    "revision fell" to {
                        recordOutcome(published)
                        listOf(StoreState(index = 3, revision = 1))
                    },
                    "entry 3 is lost" to {
                        recordOutcome(published)
                        listOf(StoreState(index = 2, revision = 2))
                    },
                    "another result" to {
                        recordApplied(a, 1, entry(3))
                        recordOutcome(published)
                        emptyList()
                    },
                    "another entry" to {
                        recordApplied(a, 1, entry(1))
                        recordApplied(b, 1, entry(1, term = 2))
                        emptyList()
                    },
                    "two leaders" to {
                        recordLeader(a, 1)
                        recordLeader(b, 1)
                        emptyList()
                    },
                    "applied 3 after 1" to {
                        recordApplied(a, 1, entry(1))
                        recordApplied(a, 1, entry(3))
                        emptyList()
                    },
                    "different states" to { listOf(StoreState(), StoreState(index = 1)) },
                )
            for ((expected, scenario) in rows) {
                val history = History { 0 }
                val violations = history.violations(history.scenario())
                if (expected == null) assertEquals(emptyList(), violations)
                if (expected != null) assertTrue(violations.any { expected in it }, "'$expected' is not in $violations")
            }
        }
    }

    @Nested
    inner class Schedules {
        /** Guards against schedules with so few faults that a disk which loses acknowledged writes is not detected. */
        @Test
        fun `random schedules detect disks that lose acknowledged writes`() {
            val detected = (1L..200L).count { RandomSchedule(it, ::ForgetfulDisk).run().isNotEmpty() }
            assertTrue(detected > 20, "$detected of 200 schedules detected the planted fault")
        }

        /**
         * Guards against a history that records nothing: callers that run without an accepted claim must be detected.
         */
        @Test
        fun `random schedules detect callers that run on the claim of another caller`() {
            val detected =
                (1L..50L).count {
                    RandomSchedule(it, ignoresClaims = true).run().any { violation ->
                        "ran 2 times" in
                            violation
                    }
                }
            assertTrue(detected > 10, "$detected of 50 schedules detected the planted fault")
        }
    }

    /** Loses its last entries in every power loss, although it has acknowledged them. */
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
