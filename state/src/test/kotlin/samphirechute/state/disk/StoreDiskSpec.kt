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
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotNull
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

        /** Guards against acknowledging after a restart what an ended process had written but not synced. */
        @Test
        fun `what a start restores survives a power loss`() {
            for (seed in 0L until 50L) {
                val one = MemoryFolder()
                val ended = open(one)
                ended.write(listOf(entries(1L..1L)))
                one.failing = "sync" to 0
                assertFailsWith<DiskError.SyncFailed> { ended.write(listOf(entries(2L..2L))) }
                one.failing = null
                ended.close()
                val restored = open(one).restored
                one.crash(Random(seed))
                assertEquals(restored, open(one).use { it.restored }, "seed $seed")
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

        /** Guards against a member that cannot start, or reads old bytes as entries, after a loss of power in a write. */
        @Test
        fun `bytes behind the last whole record are cut off, also behind the first record alone`() {
            for (confirmed in 0L..2L) {
                open().use { disk -> if (confirmed > 0) disk.write(listOf(entries(confirmed..confirmed))) }
                val whole = folder.bytes("log-0")
                open().use { it.write(listOf(entries(confirmed + 1..confirmed + 3))) }
                val older = folder.bytes("log-0").drop(whole.size).toByteArray()
                val random = Random(confirmed)
                val tails =
                    listOf(ByteArray(1), ByteArray(older.size), random.nextBytes(older.size)) +
                        older.indices.flatMap { listOf(older.copyOf(it), older.drop(it + 1).toByteArray()) } +
                        older.indices.map { at -> older.copyOf(at) + ByteArray(1) + older.drop(at + 1) }
                for (tail in tails.filter { it.isNotEmpty() && !it.contentEquals(older) }) {
                    folder.truncate("log-0", whole.size.toLong())
                    folder.append("log-0").append(tail)
                    assertEquals((1L..confirmed).toList(), restored().entries.map { it.index })
                    assertEquals(whole.size.toLong(), folder.size("log-0"))
                }
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
        /** Guards against acknowledging a write whose sync failed, and against retrying a sync. */
        @Test
        fun `no further write is accepted after a failed sync`() {
            val snapshot = DiskWrite(1, vote, snapshot = stateAt(3))
            val rows =
                listOf("sync" to 0 to entries(1L..1L)) +
                    listOf("sync" to 0, "sync" to 1, "syncFolder" to 0, "syncFolder" to 1).map { it to snapshot }
            for ((failing, write) in rows) {
                val one = MemoryFolder()
                val disk = open(one)
                one.failing = failing
                assertFailsWith<DiskError.SyncFailed> { disk.write(listOf(write)) }
                one.failing = null
                assertFailsWith<DiskError.SyncFailed> { disk.write(listOf(entries(1L..1L))) }
            }
        }

        /** Guards against refused writes that are lost, written twice, or leave a torn record before a valid one. */
        @Test
        fun `refused writes are tried again without loss, wherever they are refused`() {
            val failing = listOf("append", "rename").flatMap { name -> (0..4).map { name to it } }
            val rows = (0L..900L).map { it to null } + failing.map { Long.MAX_VALUE to it }
            val writes = listOf(entries(2L..3L), DiskWrite(2, vote, stateAt(3)), entries(4L..5L))
            for ((row, fault) in rows.withIndex()) {
                val one = MemoryFolder()
                val disk = open(one)
                disk.write(listOf(entries(1L..1L)))
                one.freeBytes = fault.first
                one.failing = fault.second
                val refusals = writeUntilTaken(disk, one, writes)
                assertTrue(refusals <= 2, "row $row: refused $refusals times")
                one.crash(Random(row))
                val expected = RestoredLog(vote, stateAt(3), listOf(entry(4), entry(5)))
                assertEquals(expected, open(one).use { it.restored }, "row $row")
                assertEquals(setOf("identity", "log-1", "snapshot-1"), one.list().toSet(), "row $row")
            }
        }

        /** Writes as a [DiskThread] does; the disk has no room at the next attempt either, and then it has. */
        private fun writeUntilTaken(
            disk: StoreDisk,
            on: MemoryFolder,
            writes: List<DiskWrite>,
        ): Int {
            var rest = writes
            var refusals = 0
            while (rest.isNotEmpty()) {
                try {
                    rest = rest.drop(disk.writeNext(rest))
                } catch (_: DiskError.WriteRefused) {
                    on.failing = null
                    on.freeBytes = if (refusals++ == 0) 2 else Long.MAX_VALUE
                }
            }
            return refusals
        }

        /** Guards against a process that ends at its start because the disk is full. */
        @Test
        fun `a first start waits for room, and a later one needs none`() {
            for (free in 0L..200L) {
                val one = MemoryFolder()
                one.freeBytes = free
                var waits = 0
                val wait = {
                    waits++
                    one.freeBytes = Long.MAX_VALUE
                }
                StoreDisk.openWhenRoom({ one }, { "disk-1" }, wait).use { disk ->
                    one.freeBytes = Long.MAX_VALUE
                    disk.write(listOf(entries(1L..1L)))
                }
                assertTrue(waits <= 1, "$free bytes free: $waits waits")
                one.crash(Random(free))
                one.freeBytes = 0
                open(one).use { assertEquals(listOf(entry(1)), it.restored.entries) }
            }
        }

        /** Guards against an exit when there is no room for the folder or its lock, and a wait for a disk that is broken. */
        @Test
        fun `a start waits for room only`() {
            var waits = 0
            val full = listOf(IOException("No space left on device"), null).iterator()
            val folderOnceThereIsRoom = { full.next()?.let { throw it } ?: MemoryFolder() }
            StoreDisk.openWhenRoom(folderOnceThereIsRoom, { "disk-1" }) { waits++ }.close()
            assertEquals(1, waits)
            val broken = MemoryFolder().also { it.failing = "append" to 0 }
            assertFailsWith<DiskError.WriteRefused> { StoreDisk.openWhenRoom({ broken }, { "disk-1" }) { waits++ } }
            assertEquals(1, waits)
        }

        /** Guards against log lines that do not tell a full disk from a broken one. */
        @Test
        fun `the error says whether there was no room, and what was written`() {
            fun messageAfter(fail: MemoryFolder.() -> Unit): String {
                val one = MemoryFolder()
                val disk = open(one)
                one.fail()
                return assertFailsWith<DiskError> { disk.write(listOf(entries(1L..1L))) }.message.orEmpty()
            }
            assertTrue("no room in folder memory, append of " in messageAfter { freeBytes = 5 })
            assertTrue("write refused in folder memory, append of " in messageAfter { failing = "append" to 0 })
            assertTrue("sync failed in folder memory, append of " in messageAfter { failing = "sync" to 0 })
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

        /** Guards against a dropped write that counts as durable because a later one is. */
        @Test
        fun `a write that does not follow the one before ends the thread`() {
            val posted = LinkedBlockingQueue<RaftInput>()
            DiskThread(open(), post = posted::add).use { thread ->
                listOf(1L, 3L).forEach { thread.submit(entries(it..it).copy(sequence = it)) }
            }
            assertIs<RaftInput.DiskFailed>(posted.last())
            assertTrue(restored().entries.size <= 1)
        }

        /** Guards against a disk thread that gives up when the disk is full, and one that cannot be closed then. */
        @Test
        fun `a refused write is done once there is room, and closing does not wait for it`() {
            val posted = LinkedBlockingQueue<RaftInput>()
            val disk = open().also { folder.freeBytes = 5 }
            DiskThread(disk, retryMs = 1, post = posted::add).use { thread ->
                (1L..3L).forEach { thread.submit(entries(it..it).copy(sequence = it)) }
                assertEquals(RaftInput.DiskRefused, posted.poll(10, TimeUnit.SECONDS))
                folder.freeBytes = Long.MAX_VALUE
                do {
                    val next = assertNotNull(posted.poll(10, TimeUnit.SECONDS))
                } while (next != RaftInput.DiskDone(3))
                folder.freeBytes = 5
                thread.submit(entries(4L..4L).copy(sequence = 4))
                assertEquals(RaftInput.DiskRefused, posted.poll(10, TimeUnit.SECONDS))
            }
            folder.freeBytes = Long.MAX_VALUE
            assertEquals(listOf(1L, 2L, 3L), restored().entries.map { it.index })
        }
    }
}
