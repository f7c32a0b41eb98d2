package samphirechute.state.disk

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.TimedCommand
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.HardState
import samphirechute.state.raft.LogEntry
import samphirechute.state.raft.RestoredLog
import samphirechute.state.sim.ValueDisk
import samphirechute.state.store.StoreState
import java.io.IOException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Ends the process or the power after each operation of a disk, with every legal outcome, and opens it again. */
class PowerLossSpec {
    private fun vote(term: Long) = HardState(term, DiskIdentity(InstanceId("a"), "d$term"))

    private fun entry(
        index: Long,
        term: Long = 1,
    ) = LogEntry(index, term, TimedCommand(index, Command.AdoptConfig(index, "content $index")))

    private fun stateAt(index: Long) =
        (1..index).fold(StoreState()) { state, it -> state.apply(it, entry(it).timed, 1).state }

    private val appends =
        listOf(
            DiskWrite(1, vote(1)),
            DiskWrite(2, entries = listOf(entry(1), entry(2))),
            DiskWrite(3, vote(2)),
            DiskWrite(4, truncateFrom = 2, entries = listOf(entry(2, 2), entry(3, 2))),
        )
    private val snapshots =
        listOf(
            DiskWrite(1, vote(1), entries = listOf(entry(1), entry(2))),
            DiskWrite(2, vote(1), stateAt(2)),
            DiskWrite(3, entries = listOf(entry(3))),
            DiskWrite(4, vote(1), stateAt(3), entries = listOf(entry(4))),
        )

    /** One life of a disk: its writes, and the room for them until one is refused. */
    private class Scenario(
        val name: String,
        val writes: List<DiskWrite>,
        val freeBytes: Long = Long.MAX_VALUE,
    )

    private val scenarios =
        listOf(Scenario("a new disk", appends), Scenario("a disk with snapshots", snapshots)) +
            (1L..1_300L step 60).map { Scenario("a disk with room for $it bytes", snapshots, it) }

    private class Life(
        val folder: MemoryFolder,
        private val scenario: Scenario,
    ) {
        /** The contents after each number of writes. */
        val expected =
            (0..scenario.writes.size).map { count ->
                ValueDisk().also { scenario.writes.take(count).forEach(it::write) }.restore()
            }
        var confirmed = 0
        var diskId: String? = null
        var restored: RestoredLog? = null
        var isComplete = false
        private var identities = 0

        fun open(): StoreDisk =
            StoreDisk.openWhenRoom({ folder }, { "disk-${++identities}" }, { folder.freeBytes = Long.MAX_VALUE })

        /** Writes everything unless the process ends before. */
        fun write(operations: Int) {
            folder.operationsLeft = operations
            folder.freeBytes = scenario.freeBytes
            endingAnyTime {
                val disk = open()
                diskId = disk.diskId
                while (confirmed < scenario.writes.size) {
                    try {
                        confirmed += disk.writeNext(scenario.writes.drop(confirmed).take(1))
                    } catch (_: DiskError.WriteRefused) {
                        folder.freeBytes = Long.MAX_VALUE
                    }
                }
                isComplete = true
            }
        }

        /** Opens the disk once more unless the process ends before. */
        fun restart(operations: Int) {
            folder.endProcess()
            folder.operationsLeft = operations
            isComplete = false
            endingAnyTime {
                val disk = open()
                diskId = disk.diskId
                restored = disk.restored
                isComplete = true
            }
        }

        /** Returns what is wrong after a loss of power, or null. */
        fun violation(choose: (Int) -> Int): String? {
            folder.crash(choose)
            val disk =
                try {
                    open()
                } catch (e: IOException) {
                    return "does not open: ${e.message}"
                }
            val found = disk.restored
            folder.crash { 0 }
            return when {
                diskId != null && disk.diskId != diskId -> "$diskId became ${disk.diskId}"
                restored != null && found != restored -> "$restored was restored, then $found"
                found !in expected.drop(confirmed) -> "$confirmed writes were confirmed, found $found"
                open().use { it.restored != found || it.diskId != disk.diskId } -> "lost after the start"
                else -> null
            }
        }

        private inline fun endingAnyTime(run: () -> Unit) =
            try {
                run()
            } catch (_: ProcessEnded) {
                // The operations of this process are used up.
            }
    }

    /** Returns the first violation for each scenario and each of [restarts] further starts that are cut short as well. */
    private fun violationsOf(
        restarts: Int,
        limit: Int,
    ): List<String> {
        val violations = LinkedHashMap<String, String>()

        fun check(
            scenario: Scenario,
            cuts: List<Int>,
        ): Boolean {
            fun play() =
                Life(MemoryFolder(), scenario).apply {
                    write(cuts.first())
                    cuts.drop(1).forEach(::restart)
                }
            if (cuts.size <= restarts) {
                var next = 0
                while (!check(scenario, cuts + next)) next++
                return play().isComplete
            }
            Outcomes(limit, Random(cuts.hashCode())).forEach { choose ->
                val problem = play().violation(choose)
                if (problem != null) violations.putIfAbsent("${scenario.name}, $cuts", problem)
            }
            return play().isComplete
        }
        for (scenario in scenarios) {
            var cut = 0
            while (!check(scenario, listOf(cut))) cut++
        }
        return violations.map { (where, problem) -> "$where: $problem" }
    }

    @Nested
    inner class Once {
        /** Guards against a disk that does not open or holds less than it confirmed after a loss of power. */
        @Test
        fun `a disk opens with everything that it confirmed, wherever the power is lost`() =
            assertEquals(emptyList(), violationsOf(restarts = 0, limit = 250))
    }

    @Nested
    inner class AfterRestart {
        /** Guards against a start that deletes or confirms something before the names that it found are durable. */
        @Test
        fun `a disk opens with everything that it confirmed when the power is lost during the start after a kill`() =
            assertEquals(emptyList(), violationsOf(restarts = 1, limit = 30))
    }
}
