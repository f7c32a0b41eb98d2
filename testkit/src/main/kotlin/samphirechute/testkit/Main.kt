package samphirechute.testkit

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.system.exitProcess

/** Runs one stand-in until the process is stopped. */
fun main(args: Array<String>) {
    val options = StandInOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (error: CmdLineException) {
        System.err.println(error.message)
        parser.printUsage(System.err)
        exitProcess(2)
    }
    val loop = EventLoop()
    val client = HttpClient(loop)
    val key = options.keyFile?.let { Path.of(it).readText().trim() }
    val address =
        when (options.kind) {
            "engine" -> StandInEngine(options, loop, client, key, ::exitAsDead).start()
            else -> StandInApplication(options, loop, client, key, ::exitAsDead).start()
        }
    println("listening on $address")
    Thread.currentThread().join()
}

/** Ends the process at once, without the orderly close of its connections. */
private fun exitAsDead() = Runtime.getRuntime().halt(DIED)

private const val DIED = 70
