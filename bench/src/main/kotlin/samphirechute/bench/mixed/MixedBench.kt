package samphirechute.bench.mixed

import samphirechute.bench.process.ProcessCluster
import samphirechute.bench.system.Build
import samphirechute.bench.system.Workspace
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Runs the processes of an old build and of this one on the same data and in one system, and shows that the new build reads
 * what the old one wrote and that both talk to each other. Ends with status 1 when a check failed, and then keeps its folder.
 */
internal class MixedBench(
    private val oldFolder: String?,
) {
    fun run(seed: Long) {
        if (oldFolder == null) refuse("mixed needs --old DIR, a checkout of an older revision with built jars")
        val old = Build("old", Path.of(oldFolder))
        val new = Build("new", ProcessCluster.root())
        for (build in listOf(old, new)) {
            val missing = build.missing().joinToString()
            if (missing.isNotEmpty()) refuse("the ${build.name} build in ${build.folder} lacks $missing")
        }
        val checks = Checks()
        val workspace = Workspace(new.folder.resolve("run/mixed-${ProcessHandle.current().pid()}"), seed)
        workspace.use {
            DaemonData(workspace, checks, old, new).run()
            ControlData(workspace, checks, old, new).run()
            MixedPlatform(workspace, checks, old, new).run()
            MixedDaemons(workspace, checks, old, new).run()
        }
        println("mixed: ${checks.passed} ok, ${checks.failed} failed")
        if (checks.failed == 0) {
            workspace.folder.toFile().deleteRecursively()
        } else {
            println("the logs are in ${workspace.folder}")
        }
        exitProcess(if (checks.failed == 0) 0 else 1)
    }

    private fun refuse(problem: String): Nothing {
        System.err.println(problem)
        exitProcess(EXIT_USAGE)
    }

    private companion object {
        const val EXIT_USAGE = 2
    }
}
