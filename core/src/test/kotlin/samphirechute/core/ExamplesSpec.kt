package samphirechute.core

import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.Nested
import samphirechute.core.service.ServiceFileReader
import samphirechute.core.settings.SettingsReader
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.test.Test
import kotlin.test.assertEquals

class ExamplesSpec {
    private val examples = Path.of("..", "examples")

    @Nested
    inner class Files {
        /** Guards against examples that the daemon or the command line rejects. */
        @Test
        fun `the service files of both users form one set`() {
            val folders = listOf("kavarna", "rayhana").map(examples::resolve)
            val services = ServiceFileReader.readFolders(folders).getOrElse { error(it) }
            val nonRepeatable = services.filter { it.neverRepeat.isNotEmpty() }.map { it.name.value }
            assertEquals(8, services.size)
            assertEquals(listOf("pallet-order", "sitter-request"), nonRepeatable)
        }

        /** Guards against example settings that contradict each other, so that no quorum forms. */
        @Test
        fun `the example settings describe one cluster with three store members`() {
            val files = examples.resolve("settings").listDirectoryEntries("*.toml")
            val settings = files.map { file -> SettingsReader.read(file).getOrElse { error(it) } }
            assertEquals(3, settings.map { it.failureDomain }.distinct().size)
            assertEquals(3, settings.mapNotNull { it.store?.dataFolder }.distinct().size)
            for (daemon in settings) assertEquals(settings.map { it.self }.toSet(), daemon.peers.toSet())
        }
    }
}
