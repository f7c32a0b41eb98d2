package samphirechute.bench.process

import samphirechute.core.HostPort
import java.nio.file.Files
import java.nio.file.Path

/** One `samphirechuted` process started by a bench, and what the kernel says of it. */
internal class DaemonProcess(
    val name: String,
    val domain: String,
    val address: HostPort,
    private val command: List<String>,
    private val log: Path,
) {
    private var process = start()

    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Ends the process without warning. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    fun restart() {
        process = start()
    }

    /** Resident memory in bytes. */
    fun residentBytes(): Long {
        val line = Files.readAllLines(Path.of("/proc/$pid/status")).first { it.startsWith("VmRSS") }
        return line.filter { it.isDigit() }.toLong() * KIB
    }

    /** Processor time used since the start, in milliseconds. */
    fun processorMs(): Long {
        val fields = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(' ')
        return (fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()) * MS_PER_TICK
    }

    private fun start(): Process =
        ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start()

    private companion object {
        const val KIB = 1_024L
        const val MS_PER_TICK = 10L

        /** Positions behind the name of the process, as in the manual page of proc. */
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
    }
}
