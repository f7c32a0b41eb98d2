package samphirechute.bench.system

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** What a process runs, and where. */
internal class Launch(
    val command: List<String>,
    val workFolder: Path,
    val variables: Map<String, String> = emptyMap(),
)

/** A process that the bench started, and ends by its handle only. Each start has a log of its own. */
internal class Child(
    val name: String,
    val build: Build,
    private val launch: Launch,
    private val logFolder: Path,
) : AutoCloseable {
    private var starts = 0
    private var log = logFolder
    private var process = start()
    private var isClosed = false

    val isAlive: Boolean get() = process.isAlive

    /** The lines of the log since the last start. */
    fun log(): List<String> = if (log.exists()) log.readLines() else emptyList()

    /** The lines of the logs of each start. */
    fun logsOfAllStarts(): List<List<String>> =
        (1..starts).map { logFile(it) }.filter { it.exists() }.map { it.readLines() }

    /** Ends the process without warning. */
    fun kill() {
        process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    /** Ends the process without warning and does not wait for its end, so that several end at the same moment. */
    fun cutPower() {
        process.destroyForcibly()
    }

    /** Asks for a planned stop and returns the exit status. */
    fun stop(): Int {
        process.destroy()
        expect("$name ends after a signal") {
            if (process.waitFor(END_SECONDS, TimeUnit.SECONDS)) null else "it runs after $END_SECONDS s"
        }
        return process.exitValue()
    }

    /** Sends a signal by its name without the prefix SIG. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor(END_SECONDS, TimeUnit.SECONDS)
    }

    @Synchronized
    fun restart() {
        if (!isClosed) process = start()
    }

    /** Ends the process for good: a restart that comes later, from a thread of the bench, does nothing. */
    @Synchronized
    override fun close() {
        isClosed = true
        if (isAlive) kill()
    }

    /** Waits for a command that ends by itself, and returns its exit status with what it printed. */
    fun await(): Pair<Int, String> {
        val isEnded = process.waitFor(END_SECONDS, TimeUnit.SECONDS)
        if (!isEnded) kill()
        expect("$name ends") { if (isEnded) null else "it ran for $END_SECONDS s" }
        return process.exitValue() to log().joinToString("\n")
    }

    private fun logFile(start: Int) = logFolder.resolve("$name-${build.name}-$start.log")

    private fun start(): Process {
        starts++
        log = logFile(starts)
        val builder =
            ProcessBuilder(launch.command)
                .directory(launch.workFolder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
        builder.environment() += launch.variables
        return builder.start()
    }

    private companion object {
        const val END_SECONDS = 60L
    }
}
