package samphirechute.bench.core

import samphirechute.bench.process.ProcessCluster
import samphirechute.bench.system.Build
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.Workspace
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Replaces all control instances of a system of processes, cuts the power of all, and checks that each acknowledged
 * configuration is in force afterwards; one round after another with new systems. Ends with status 1 when a promise was
 * broken. The logs of broken rounds stay in the folder that is printed.
 */
internal class CoreBench(
    private val seconds: Long,
) {
    fun run(seed: Long) {
        System.setProperty("sun.net.httpserver.nodelay", "true")
        val clock = RunClock()
        val folder = Files.createTempDirectory("core-$seed-")
        println("logs=$folder")
        var round = 0
        var failed = 0
        while (clock.nowMs() < seconds * MS_PER_SECOND) {
            if (!isKept(folder.resolve("$round"), seed, round)) failed++
            round++
        }
        println("rounds=$round failed=$failed")
        exitProcess(if (failed == 0) 0 else 1)
    }

    private fun isKept(
        folder: Path,
        seed: Long,
        round: Int,
    ): Boolean {
        val random = Random(seed * ROUNDS + round)
        val plan = CorePlan(random, round)
        println("round=$round $plan")
        val broken =
            Workspace(folder, seed).use { workspace ->
                CoreSystem(workspace, Build("head", ProcessCluster.root()), plan).use { system ->
                    val broken = CoreRound(system, plan, random).play()
                    broken.forEach { println("broken round=$round $it") }
                    if (broken.isNotEmpty()) Evidence.print(system)
                    broken
                }
            }
        if (broken.isEmpty()) folder.toFile().deleteRecursively()
        return broken.isEmpty()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000
        const val ROUNDS = 1_000
    }
}
