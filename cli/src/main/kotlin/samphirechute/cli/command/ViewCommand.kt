package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import samphirechute.cli.CliContext
import samphirechute.cli.CliError

/** Shows one view of the first server that answers. */
internal abstract class ViewCommand : ServerCommand() {
    protected abstract val path: String

    /** The text for people; an error when [body] is not the expected view. */
    protected abstract fun render(body: String): Result<String, CliError>

    override fun run(context: CliContext): Result<Unit, CliError> =
        servers(context)
            .flatMap { it.get(path) }
            .flatMap { body -> render(body).map { text -> if (isJson) body.trim() else text } }
            .map { context.out.println(it) }
}
