package samphirechute.bench.limits

import samphirechute.bench.process.ProcessCluster
import samphirechute.bench.system.Build
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.Workspace
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Runs the processes of the platform while upstreams name limits and processes fail, and checks what reaches the upstreams.
 * Ends with status 1 when a promise was broken. The logs stay in a temporary folder.
 */
internal class LimitsBench(
    private val seconds: Long,
) {
    fun run(seed: Long) {
        // Otherwise the stand-in upstreams hold back the body of some answers until the head is acknowledged, for up to 40 ms.
        System.setProperty("sun.net.httpserver.nodelay", "true")
        val clock = RunClock()
        val folder = Files.createTempDirectory("limits-$seed-")
        println("logs=$folder")
        val broken =
            Workspace(folder, seed).use { workspace ->
                LimitsSystem(workspace, Build("head", ProcessCluster.root()), clock).use { system ->
                    system.awaitReady()
                    play(system, clock, seed, seconds * MS_PER_SECOND)
                        .also { folder.resolve("requests.txt").writeText(it.requestLines()) }
                        .report()
                }
            }
        exitProcess(if (broken == 0) 0 else 1)
    }

    private fun play(
        system: LimitsSystem,
        clock: RunClock,
        seed: Long,
        durationMs: Long,
    ): LimitsReport {
        val plan =
            LimitsPlan(Random(seed), durationMs, system.upstreams.size, LimitsSystem.CONTROLS, LimitsSystem.ENTRIES)
        val callers = Callers(system, clock, Random(seed + 1))
        clock.restart()
        val faults = LimitsFaults(system, clock, plan.actions)
        faults.use { callers.run(durationMs) }
        return LimitsReport(system.upstreams, callers.results.toList(), faults.all.toList())
    }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
