package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.kohsuke.args4j.Argument
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.core.service.ServiceFileReader
import java.nio.file.Path

/** Checks service files without a server. */
internal class CheckCommand : Command() {
    @Argument(index = 0, metaVar = "DIR...", required = true, usage = "folders with service files")
    var folders: MutableList<String> = mutableListOf()

    override val summary = "check service files, offline"
    override val examples = listOf("check examples/kavarna", "check --json examples/kavarna examples/rayhana")

    override fun run(context: CliContext): Result<Unit, CliError> =
        ServiceFileReader
            .readFolders(folders.map(Path::of))
            .mapError { CliError.WrongFiles(it) }
            .map { services ->
                val answer = JsonObject(mapOf("services" to JsonPrimitive(services.size)))
                context.out.println(if (isJson) "$answer" else "${services.size} services, no errors")
            }
}
