package samphirechute.bench.system

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** One revision of the project: a checkout with built jars. [name] stands in the output. */
internal class Build(
    val name: String,
    folder: Path,
) {
    val folder: Path = folder.toAbsolutePath().normalize()

    /** The files that a checkout lacks for a run. */
    fun missing(): List<String> = NEEDED.filterNot { folder.resolve(it).exists() }

    /** The command of one of the scripts in bin. */
    fun script(
        name: String,
        vararg arguments: String,
    ): List<String> = listOf("$folder/bin/$name") + arguments

    /** The command that the deployment of this revision runs for a role of the platform, meant for [folder]. */
    fun roleCommand(role: String): List<String> {
        val lines = folder.resolve(DEPLOYMENT).readLines()
        val run = lines.dropWhile { it.trim() != "[roles.$role]" }.firstOrNull { it.startsWith("run = ") }
        return checkNotNull(run) { "$DEPLOYMENT of the $name build has no run line for $role" }
            .substringAfter('"')
            .substringBeforeLast('"')
            .split(' ')
    }

    override fun toString() = name

    private companion object {
        const val DEPLOYMENT = "deploy/system.toml"
        val NEEDED =
            listOf(
                DEPLOYMENT,
                "deploy/settings.json",
                "examples/kavarna",
                "examples/rayhana",
                "bin/samphirechuted",
                "bin/samphirectl",
                "bin/standin",
                "target/samphirechute.jar",
                "daemon/target/samphirechuted.jar",
                "cli/target/samphirectl.jar",
                "testkit/target/standin.jar",
            )
    }
}
