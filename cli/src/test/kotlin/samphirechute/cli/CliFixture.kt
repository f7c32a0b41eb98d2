package samphirechute.cli

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Runs command lines against a scripted gateway on a virtual clock. */
internal class CliFixture(
    val gateway: FakeGateway = FakeGateway(),
    private val input: String = "",
    private val environment: Map<String, String> = emptyMap(),
) {
    private val outBytes = ByteArrayOutputStream()
    private val errBytes = ByteArrayOutputStream()
    private var nowMs = 0L
    val sleeps = mutableListOf<Long>()
    val out get() = outBytes.toString(Charsets.UTF_8)
    val err get() = errBytes.toString(Charsets.UTF_8)

    fun run(vararg arguments: String): ExitCode {
        val context =
            CliContext(
                gateway,
                PrintStream(outBytes, true, Charsets.UTF_8),
                PrintStream(errBytes, true, Charsets.UTF_8),
                input.byteInputStream(),
                environment::get,
                clock = { nowMs },
                sleep = {
                    sleeps += it
                    nowMs += it
                },
                newIdentifier = { "new-id" },
            )
        return CommandLine(context).run(arguments.toList())
    }
}
