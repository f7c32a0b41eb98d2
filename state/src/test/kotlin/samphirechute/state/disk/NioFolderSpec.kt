package samphirechute.state.disk

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.HardState
import samphirechute.state.store.StoreState
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class NioFolderSpec {
    @TempDir
    lateinit var base: Path

    private fun open(path: Path) = StoreDisk.open(NioFolder(path)) { "disk-1" }

    @Nested
    inner class Syncs {
        private val system by lazy { RecordingFileSystem(base) }

        /** What a loss of power may still take back: changed files that were not synced, and names of their folder. */
        private fun unsynced(): Set<String> {
            val open = linkedSetOf<String>()
            for (operation in system.operations) {
                val words = operation.split(" ")
                val name = words.last()
                val folder =
                    Path
                        .of(name)
                        .parent
                        ?.toString()
                        .orEmpty()
                when (words.first()) {
                    "write", "truncate" -> open += name
                    "create", "rename" -> open += listOf("names of $folder")
                    "sync" -> open -= setOf(name, "names of $name")
                }
            }
            return open
        }

        /** Guards against a machine that loses its whole disk because the name of its new data folder was not synced. */
        @Test
        fun `a disk in a new folder is durable once it is open, with the names of all new folders`() {
            open(system.path("data/store")).use { assertEquals(emptySet(), unsynced()) }
        }

        /** Guards against a sync of another file, and one that comes before the last write. */
        @Test
        fun `every file and name is synced when a write returns`() {
            Files.createDirectories(base.resolve("data"))
            open(system.path("data")).use { disk ->
                val rows =
                    listOf(
                        DiskWrite(1, HardState(1)),
                        DiskWrite(2, HardState(1), StoreState()),
                        DiskWrite(3, HardState(2)),
                    )
                for (row in rows) {
                    disk.write(listOf(row))
                    assertEquals(emptySet(), unsynced(), "${system.operations}")
                }
            }
            for (renamed in system.operations.filter { it.startsWith("rename") }) {
                val from = renamed.split(" ")[1]
                val before = system.operations.take(system.operations.indexOf(renamed)).last { it.endsWith(from) }
                assertEquals("sync $from", before, "${system.operations}")
            }
        }
    }

    @Nested
    inner class Locks {
        /** Guards against two processes that write one log, also after an attempt to open it twice in one process. */
        @Test
        fun `another process is refused while the folder is open`() {
            open(base).use {
                assertEquals("refused", openElsewhere())
                assertFailsWith<DiskError.Locked> { open(base) }
                assertEquals("refused", openElsewhere())
            }
            assertEquals("opened", openElsewhere())
        }

        private fun openElsewhere(): String {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command =
                listOf(java, "-cp", System.getProperty("java.class.path"), OpenElsewhere::class.java.name, "$base")
            val process = ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start()
            val answer = process.inputStream.bufferedReader().readLine()
            check(process.waitFor(PROCESS_LIMIT_S, TimeUnit.SECONDS)) { "the other process does not end" }
            return answer
        }
    }

    /** The program of another process, which opens the folder that its argument names. */
    internal object OpenElsewhere {
        @JvmStatic
        fun main(arguments: Array<String>) {
            val answer =
                try {
                    StoreDisk.open(NioFolder(Path.of(arguments.single()))) { "disk-2" }.use { "opened" }
                } catch (_: DiskError.Locked) {
                    "refused"
                }
            println(answer)
        }
    }

    private companion object {
        const val PROCESS_LIMIT_S = 60L
    }
}
