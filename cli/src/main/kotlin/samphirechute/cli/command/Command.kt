package samphirechute.cli.command

import com.github.michaelbull.result.Result
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError

/** One sub-command. Options are properties; [run] does the work and prints to the context. */
internal abstract class Command {
    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show the options and examples")
    var isHelp = false

    @Option(name = "--json", usage = "print JSON for programs")
    var isJson = false

    abstract val summary: String
    abstract val examples: List<String>

    abstract fun run(context: CliContext): Result<Unit, CliError>
}
