package samphirechute.cli

import samphirechute.cli.http.Gateway
import samphirechute.core.time.Clock
import java.io.InputStream
import java.io.PrintStream

/** What a command reaches of the world: terminal, environment, time and servers. */
internal class CliContext(
    val gateway: Gateway,
    val out: PrintStream,
    val err: PrintStream,
    val input: InputStream,
    val environment: (String) -> String?,
    val clock: Clock,
    val sleep: (Long) -> Unit,
    val newIdentifier: () -> String,
)
