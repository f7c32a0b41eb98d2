package samphirechute.cli

import samphirechute.cli.http.LoopGateway
import samphirechute.core.time.Clock
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.PrintStream
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

fun main(arguments: Array<String>) {
    val exitCode =
        LoopGateway().use { gateway ->
            val context =
                CliContext(
                    gateway,
                    utf8(FileDescriptor.out),
                    utf8(FileDescriptor.err),
                    System.`in`,
                    System::getenv,
                    clock = MonotonicClock,
                    sleep = Thread::sleep,
                    newIdentifier = { UUID.randomUUID().toString() },
                )
            CommandLine(context).run(arguments.toList()).also { context.out.flush() }
        }
    exitProcess(exitCode.code)
}

/** Answers are UTF-8 text whatever the locale of the terminal. */
private fun utf8(descriptor: FileDescriptor) = PrintStream(FileOutputStream(descriptor), true, Charsets.UTF_8)

private object MonotonicClock : Clock {
    override fun nowMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
}
