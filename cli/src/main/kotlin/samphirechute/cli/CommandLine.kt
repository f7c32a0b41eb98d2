package samphirechute.cli

import com.github.michaelbull.result.fold
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import org.kohsuke.args4j.spi.SubCommands
import samphirechute.cli.command.Command
import samphirechute.cli.command.Commands
import java.io.StringWriter

/** Parses the arguments and runs the command they name. */
internal class CommandLine(
    private val context: CliContext,
) {
    fun run(arguments: List<String>): ExitCode {
        val commands = Commands()
        val parser = CmdLineParser(commands)
        try {
            parser.parseArgument(arguments)
        } catch (e: CmdLineException) {
            context.err.println("samphirectl: ${e.message}")
            context.err.println(hint(arguments.firstOrNull()))
            return ExitCode.USAGE
        }
        val command = commands.command
        return when {
            commands.isHelp || command == null -> ExitCode.OK.also { context.out.println(overview()) }
            command.isHelp -> ExitCode.OK.also { context.out.println(help(nameOf(command), command)) }
            else -> execute(command)
        }
    }

    private fun execute(command: Command): ExitCode =
        command.run(context).fold(
            success = { ExitCode.OK },
            failure = { error ->
                context.err.println("samphirectl: ${error.message}")
                error.exitCode
            },
        )

    private fun hint(name: String?) =
        if (available().any { it.first == name }) "See 'samphirectl $name --help'." else "See 'samphirectl --help'."

    private fun overview() =
        buildString {
            appendLine("Usage: samphirectl COMMAND [OPTIONS]")
            appendLine()
            appendLine("Commands:")
            available().forEach { (name, command) -> appendLine("  ${name.padEnd(NAME_WIDTH)} ${command.summary}") }
            appendLine()
            appendLine("Exit codes:")
            ExitCode.entries.forEach { appendLine("  ${it.code}  ${it.meaning}") }
            append("\n'samphirectl COMMAND --help' shows the options and examples of a command.")
        }

    private fun help(
        name: String,
        command: Command,
    ) = buildString {
        val parser = CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false))
        val usage = StringWriter().also { parser.printSingleLineUsage(it, null) }
        val options = StringWriter().also { parser.printUsage(it, null) }
        appendLine("Usage: samphirectl $name$usage")
        appendLine()
        appendLine(command.summary)
        appendLine()
        appendLine(options.toString().trimEnd())
        appendLine()
        append("Examples:")
        command.examples.forEach { append("\n  samphirectl $it") }
    }

    private fun nameOf(command: Command) = available().first { it.second.javaClass == command.javaClass }.first

    private fun available(): List<Pair<String, Command>> =
        Commands::class.java
            .getDeclaredField("command")
            .getAnnotation(SubCommands::class.java)
            .value
            .map {
                it.name to
                    it.impl.java
                        .getDeclaredConstructor()
                        .newInstance() as Command
            }

    private companion object {
        const val NAME_WIDTH = 10
    }
}
