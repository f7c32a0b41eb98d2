package samphirechute.cli.command

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** The arguments before the options of a command. */
internal class Commands {
    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show the commands")
    var isHelp = false

    @Argument(index = 0, metaVar = "COMMAND", required = true, handler = SubCommandHandler::class)
    @SubCommands(
        SubCommand(name = "check", impl = CheckCommand::class),
        SubCommand(name = "publish", impl = PublishCommand::class),
        SubCommand(name = "status", impl = StatusCommand::class),
        SubCommand(name = "services", impl = ServicesCommand::class),
        SubCommand(name = "upstreams", impl = UpstreamsCommand::class),
        SubCommand(name = "instances", impl = InstancesCommand::class),
        SubCommand(name = "drain", impl = DrainCommand::class),
        SubCommand(name = "undrain", impl = UndrainCommand::class),
        SubCommand(name = "order", impl = OrderCommand::class),
        SubCommand(name = "rejoin", impl = RejoinCommand::class),
        SubCommand(name = "timeline", impl = TimelineCommand::class),
        SubCommand(name = "send", impl = SendCommand::class),
    )
    var command: Command? = null
}
