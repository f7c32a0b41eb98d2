package samphirechute.bench.core

import org.junit.jupiter.api.io.TempDir
import samphirechute.state.disk.NioFolder
import java.nio.file.Path
import kotlin.io.path.createDirectory
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against a bench that keeps bytes or names which a loss of power takes, and so finds nothing. */
class ShadowFolderSpec {
    @TempDir
    lateinit var parent: Path
    private val data get() = parent.resolve("data")
    private val folder by lazy { ShadowFolder(data.createDirectory(), NioFolder(data)) }

    @Test
    fun `a loss of power takes what was appended after the last sync`() {
        folder.append("log").use {
            it.append("kept".toByteArray())
            it.sync()
            it.append("lost".toByteArray())
        }
        assertEquals(4, DurableImage.of(data).restore(Kept.SYNCED, Random(1)))
        assertEquals("kept", data.resolve("log").readText())
    }

    @Test
    fun `a loss of power takes files that were never synced`() {
        folder.append("log").use { it.append("lost".toByteArray()) }
        DurableImage.of(data).restore(Kept.SYNCED, Random(1))
        assertFalse(data.resolve("log").exists())
    }

    @Test
    fun `a new name lasts only once the folder is synced`() {
        writeSynced("first")
        folder.rename("first", "second")
        DurableImage.of(data).restore(Kept.SYNCED, Random(1))
        assertEquals("text", data.resolve("first").readText())
        folder.rename("first", "second")
        folder.sync()
        DurableImage.of(data).restore(Kept.SYNCED, Random(1))
        assertEquals("text", data.resolve("second").readText())
        assertFalse(data.resolve("first").exists())
    }

    @Test
    fun `a file that is cut and synced keeps its new length`() {
        writeSynced("log")
        folder.append("log").use {
            it.truncate(2)
            it.sync()
        }
        DurableImage.of(data).restore(Kept.SYNCED, Random(1))
        assertEquals("te", data.resolve("log").readText())
    }

    private fun writeSynced(name: String) =
        folder.append(name).use {
            it.append("text".toByteArray())
            it.sync()
        }
}
