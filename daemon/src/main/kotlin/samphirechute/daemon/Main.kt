package samphirechute.daemon

import com.github.michaelbull.result.fold
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import samphirechute.core.settings.DaemonSettings
import samphirechute.core.settings.SettingsError
import samphirechute.core.settings.SettingsReader
import samphirechute.core.settings.effective
import samphirechute.net.EventLoop
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_START = 1

/** Runs one instance until it is stopped. Exits with 2 for invalid options or settings, with 1 when it cannot start. */
fun main(args: Array<String>) {
    val options = parse(args)
    val settings = SettingsReader.read(Path.of(options.config)).fold({ it }, ::refuse)
    when {
        options.isPrintOnly -> println(settings.effective())
        options.isCheckOnly -> println("${options.config}: valid")
        else -> run(settings)
    }
}

private fun parse(args: Array<String>): DaemonOptions {
    val options = DaemonOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (error: CmdLineException) {
        System.err.println("samphirechuted: ${error.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    if (!options.isHelp) return options
    println("samphirechuted --config FILE [--check | --print-config]")
    parser.printUsage(System.out)
    exitProcess(0)
}

private fun refuse(errors: List<SettingsError>): DaemonSettings {
    errors.forEach { System.err.println("samphirechuted: ${it.message}") }
    exitProcess(EXIT_USAGE)
}

private fun run(settings: DaemonSettings) {
    val daemon = start(settings)
    for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { daemon.stopSignalled() }
    Thread.currentThread().join()
}

/** The usual reasons that a start fails are faults of the surroundings, which an operator can mend. */
private fun start(settings: DaemonSettings): Daemon =
    try {
        Daemon(settings, EventLoop(), exit = { status -> Thread { exitProcess(status) }.start() }).apply { start() }
    } catch (error: IOException) {
        System.err.println("samphirechuted: cannot start on ${settings.listen}: ${error.message}")
        exitProcess(EXIT_START)
    }
