package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.combine
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import samphirechute.cli.CliContext
import samphirechute.cli.CliError

/** Shows one view over all failure domains, put together from what their coordinators answer. */
internal abstract class CoordinatorViewCommand<T : Any> : ServerCommand() {
    protected abstract val path: String

    protected abstract fun read(body: String): Result<T, CliError>

    protected abstract fun merge(views: List<T>): T

    protected abstract fun json(view: T): String

    protected abstract fun text(view: T): String

    override fun run(context: CliContext): Result<Unit, CliError> =
        fleet(context).flatMap { it.atCoordinators(path) }.flatMap { answers ->
            answers.values.filterNotNull().map { read(it) }.combine().map { views ->
                val view = merge(views)
                context.out.println(if (isJson) json(view) else text(view))
                answers.filterValues { it == null }.keys.forEach {
                    context.err.println("no coordinator of failure domain $it answered; its part is missing")
                }
            }
        }
}
