package samphirechute.bench.stops

import samphirechute.bench.process.ProcessCluster
import samphirechute.bench.system.Build
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.Workspace
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.system.exitProcess

/** What happens beside the requests of a run. */
internal sealed class Beside {
    /** Planned stops in series and other faults. */
    data object Stops : Beside()

    /** Nothing but answers that are written twice, so no broken promise is excused by a disruption. */
    data object Nothing : Beside()
}

/**
 * Runs the processes of the platform while entry instances are stopped in series, other faults overlap, and upstreams write
 * answers twice, and checks what each caller got against the records of the upstreams. Ends with status 1 when a promise was
 * broken. The logs stay in a temporary folder. The processes are those of this checkout, or of the one at [old].
 */
internal class StopsBench(
    private val seconds: Long,
    private val beside: Beside,
    private val old: String?,
) {
    fun run(seed: Long) {
        val clock = RunClock()
        val folder = Files.createTempDirectory("stops-$seed-")
        println("logs=$folder")
        val random = Random(seed)
        val stutterPercent = stutterPercents().random(random)
        val build = if (old == null) Build("head", ProcessCluster.root()) else Build("old", Path.of(old))
        val broken =
            Workspace(folder, seed).use { workspace ->
                StopsSystem(workspace, build, clock, stutterPercent).use { system ->
                    system.awaitReady()
                    val report = play(system, clock, seed, random, AttemptLog(workspace.folder("logs")))
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
        attempts: AttemptLog,
    ): StopsReport {
        val durationMs = seconds * MS_PER_SECOND
        val actions =
            when (beside) {
                Beside.Stops -> {
                    StopsPlan(
                        random,
                        durationMs,
                        system.upstreams.size,
                        StopsSystem.CONTROLS,
                        StopsSystem.ENTRIES,
                    ).actions
                }

                Beside.Nothing -> {
                    emptyList()
                }
            }
        clock.restart()
        val faults = StopsFaults(system, clock, actions)
        val callers =
            Balancer(system).use { balancer ->
                KeptConnections(system, balancer, clock, seed).also { callers ->
                    faults.use { callers.run(durationMs) }
                }
            }
        val runs = system.upstreams.flatMap { it.runs }
        val records = Records(callers.calls.toList(), runs, faults.stops.toList(), faults.disruptions())
        val ended = (system.controls + system.entries).filterNot { it.isAlive }.map { it.name }
        return StopsReport(records, runs, faults.all.toList(), callers.strays.toList(), ended, attempts)
    }

    /** Shares of answers that are written twice. */
    private fun stutterPercents() =
        when (beside) {
            Beside.Stops -> listOf(0, 10, 30, 60)
            Beside.Nothing -> listOf(10, 30, 60)
        }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
