package samphirechute.state.disk

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.state.command.Command
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.TimedCommand
import samphirechute.state.raft.DiskIdentity
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.HardState
import samphirechute.state.raft.LogEntry
import samphirechute.state.raft.RaftInput
import samphirechute.state.raft.RestoredLog
import samphirechute.state.store.StoreState
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StoreDiskSpec {
    private val folder = MemoryFolder()
    private val vote = HardState(3, DiskIdentity(InstanceId("a"), "d1"))

    private fun open(on: Folder = folder) = StoreDisk.open(on) { "disk-1" }

    private fun entry(
        index: Long,
        term: Long = 1,
    ): LogEntry {
        val command = Command.SetDrain(OperationId("op-$index"), DrainTarget.Instance(InstanceId("i$index")), true)
        return LogEntry(index, term, TimedCommand(index, command))
    }

    private fun entries(range: LongRange) = DiskWrite(0, entries = range.map { entry(it) })

    private fun stateAt(index: Long) =
        (1..index).fold(StoreState()) { state, it -> state.apply(it, entry(it).timed, 1).state }

    private fun restored() = open().use { it.restored }

    @Nested
    inner class Restart {
        /** Guards against a restart that restores a different log than was acknowledged. */
        @Test
        fun `the log is restored as it was written`() {
            val state = stateAt(2)
            val rows =
                listOf(
                    listOf(DiskWrite(1, vote)) to RestoredLog(vote),
                    listOf(entries(1L..3L)) to RestoredLog(entries = (1L..3L).map { entry(it) }),
                    listOf(entries(1L..3L), DiskWrite(2, truncateFrom = 2, entries = listOf(entry(2, 2)))) to
                        RestoredLog(entries = listOf(entry(1), entry(2, 2))),
                    listOf(entries(1L..3L), DiskWrite(2, vote, snapshot = state, entries = listOf(entry(3)))) to
                        RestoredLog(vote, state, listOf(entry(3))),
                )
            for ((writes, expected) in rows) {
                val one = MemoryFolder()
                open(one).use { disk -> writes.forEach { disk.write(listOf(it)) } }
                assertEquals(expected, open(one).use { it.restored })
                val grouped = MemoryFolder()
                open(grouped).use { it.write(writes) }
                assertEquals(expected, open(grouped).use { it.restored })
            }
        }

        /** Guards against a disk that fills with old snapshots and logs. */
        @Test
        fun `the number of files is bounded`() {
            open().use { disk -> (1L..5L).forEach { disk.write(listOf(DiskWrite(it, vote, snapshot = stateAt(it)))) } }
            assertEquals(setOf("identity", "log-5", "snapshot-5"), folder.list().toSet())
        }

        /** Guards against an acknowledged write that is lost in a power loss, at every file operation. */
        @Test
        fun `every acknowledged write survives a power loss at any step`() {
            for (seed in 0L until 300L) {
                val random = Random(seed)
                val failingFolder = MemoryFolder()
                var acknowledged = 0L
                val disk = open(failingFolder)
                failingFolder.failing =
                    listOf("append", "sync", "rename", "syncFolder", "delete").random(random) to random.nextInt(5)
                runCatching {
                    for (index in 1L..8L) {
                        val isSnapshot = index % 4 == 0L
                        disk.write(
                            listOf(
                                if (isSnapshot) {
                                    DiskWrite(index, vote, stateAt(index))
                                } else {
                                    entries(index..index)
                                },
                            ),
                        )
                        acknowledged = index
                    }
                }
                failingFolder.crash(random)
                val found = open(failingFolder).use { it.restored }
                val last = found.entries.lastOrNull()?.index ?: found.state.index
                assertTrue(
                    last >= acknowledged,
                    "seed $seed: entry $acknowledged was acknowledged, the log ends at $last",
                )
            }
        }
    }

    @Nested
    inner class Damage {
        /** Guards against a member that cannot start after a crash in the middle of a write. */
        @Test
        fun `a torn last record is truncated, wherever it is torn`() {
            open().use { it.write(listOf(entries(1L..2L))) }
            val whole = folder.bytes("log-0").size
            open().use { it.write(listOf(entries(3L..4L))) }
            val end = folder.bytes("log-0").size
            for (length in whole until end) {
                folder.truncate("log-0", length.toLong())
                assertEquals(listOf(1L, 2L), restored().entries.map { it.index })
                assertEquals(whole.toLong(), folder.size("log-0"))
            }
        }

        /** Guards against a silent repair that drops acknowledged entries. */
        @Test
        fun `damage before a valid record is reported with file and offset`() {
            val ends = mutableListOf(0)
            open().use { disk ->
                ends += folder.bytes("log-0").size
                (1L..3L).forEach {
                    disk.write(listOf(entries(it..it)))
                    ends += folder.bytes("log-0").size
                }
            }
            for (record in 0..2) {
                for (offset in ends[record] until ends[record + 1]) {
                    folder.flipBit("log-0", offset)
                    val error = assertFailsWith<DiskError.Corrupt> { open() }
                    assertTrue(
                        "memory/log-0 is corrupt at offset ${ends[record]}" in error.message.orEmpty(),
                        error.message,
                    )
                    folder.flipBit("log-0", offset)
                }
            }
        }

        /** Guards against the use of a snapshot that is partly damaged or missing. */
        @Test
        fun `a damaged or missing snapshot is refused`() {
            open().use { it.write(listOf(DiskWrite(1, vote, snapshot = stateAt(3)))) }
            for (offset in folder.bytes("snapshot-1").indices step 7) {
                folder.flipBit("snapshot-1", offset)
                assertFailsWith<DiskError.Corrupt> { open() }
                folder.flipBit("snapshot-1", offset)
            }
            folder.truncate("snapshot-1", folder.size("snapshot-1") - 20)
            assertFailsWith<DiskError.Corrupt> { open() }
            folder.delete("snapshot-1")
            assertFailsWith<DiskError.Missing> { open() }
        }

        /**
         * Guards against a member that votes under its old identity after it has lost its log, or keeps its log without
         * one.
         */
        @Test
        fun `a log without an identity, or an identity without a log, is refused`() {
            open().use { it.write(listOf(entries(1L..1L))) }
            val log = folder.bytes("log-0")
            folder.delete("log-0")
            assertFailsWith<DiskError.Missing> { open() }
            folder.append("log-0").append(log)
            folder.delete("identity")
            assertFailsWith<DiskError.Missing> { open() }
        }
    }

    @Nested
    inner class Failure {
        /** Guards against acknowledging a write that the disk refused, and against retrying a sync. */
        @Test
        fun `no further write is accepted after a failed one`() {
            val rows: List<MemoryFolder.() -> Unit> =
                listOf({ freeBytes = 5 }, { failing = "sync" to 0 }, { failing = "append" to 0 })
            for (fail in rows) {
                val one = MemoryFolder()
                val disk = open(one)
                one.fail()
                assertFailsWith<DiskError.WriteFailed> { disk.write(listOf(entries(1L..1L))) }
                one.failing = null
                one.freeBytes = Long.MAX_VALUE
                assertFailsWith<DiskError.WriteFailed> { disk.write(listOf(entries(1L..1L))) }
            }
        }

        /** Guards against two processes that write the same log. */
        @Test
        fun `a second process is refused`(
            @TempDir path: Path,
        ) {
            for (on in listOf(folder, NioFolder(path))) {
                open(on).use { assertFailsWith<DiskError.Locked> { open(on) } }
                open(on).close()
            }
        }
    }

    @Nested
    inner class Threaded {
        /** Guards against a result that is posted before the write is durable, or is never posted. */
        @Test
        fun `results are posted in order, and a failure ends the thread`(
            @TempDir path: Path,
        ) {
            val posted = LinkedBlockingQueue<RaftInput>()
            DiskThread(open(NioFolder(path)), post = posted::add).use { thread ->
                (1L..3L).forEach { thread.submit(entries(it..it).copy(sequence = it)) }
            }
            assertEquals(RaftInput.DiskDone(3), posted.last())
            assertEquals(3, open(NioFolder(path)).use { it.restored.entries.size })
            DiskThread(open().also { folder.failing = "sync" to 0 }, post = posted::add).use { thread ->
                posted.clear()
                thread.submit(entries(1L..1L))
                assertIs<RaftInput.DiskFailed>(posted.poll(10, TimeUnit.SECONDS))
            }
        }
    }
}
