package samphirechute.bench.stops

import samphirechute.bench.process.ProcessCluster
import samphirechute.bench.system.Build
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.Workspace
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Runs the processes of the platform while entry instances are stopped in series, other faults overlap, and upstreams write
 * answers twice, and checks what each caller got against the records of the upstreams. Ends with status 1 when a promise was
 * broken. The logs stay in a temporary folder.
 */
internal class StopsBench(
    private val seconds: Long,
) {
    fun run(seed: Long) {
        val clock = RunClock()
        val folder = Files.createTempDirectory("stops-$seed-")
        println("logs=$folder")
        val random = Random(seed)
        val stutterPercent = STUTTER_PERCENT.random(random)
        val broken =
            Workspace(folder, seed).use { workspace ->
                StopsSystem(workspace, Build("head", ProcessCluster.root()), clock, stutterPercent).use { system ->
                    system.awaitReady()
                    val report = play(system, clock, seed, random)
                    folder.resolve("requests.txt").writeText(report.requestLines())
                    println(
                        "seed=$seed seconds=$seconds connections=${KeptConnections.CONNECTIONS} stutter_percent=$stutterPercent",
                    )
                    report.report()
                }
            }
        exitProcess(if (broken == 0) 0 else 1)
    }

    private fun play(
        system: StopsSystem,
        clock: RunClock,
        seed: Long,
        random: Random,
    ): StopsReport {
        val durationMs = seconds * MS_PER_SECOND
        val plan =
            StopsPlan(random, durationMs, system.upstreams.size, StopsSystem.CONTROLS, StopsSystem.ENTRIES)
        clock.restart()
        val faults = StopsFaults(system, clock, plan.actions)
        val callers =
            Balancer(system).use { balancer ->
                KeptConnections(system, balancer, clock, seed).also { callers ->
                    faults.use { callers.run(durationMs) }
                }
            }
        val runs = system.upstreams.flatMap { it.runs }
        val records = Records(callers.calls.toList(), runs, faults.stops.toList(), faults.disruptions())
        val ended = (system.controls + system.entries).filterNot { it.isAlive }.map { it.name }
        return StopsReport(records, runs, faults.all.toList(), callers.strays.toList(), ended)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000

        /** The share of answers that are written twice. */
        val STUTTER_PERCENT = listOf(0, 10, 30, 60)
    }
}
