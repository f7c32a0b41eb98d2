package samphirechute.bench

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import samphirechute.bench.core.CoreBench
import samphirechute.bench.limits.LimitsBench
import samphirechute.bench.mixed.MixedBench
import samphirechute.bench.process.FootprintBench
import samphirechute.bench.process.GrantsBench
import samphirechute.bench.process.PathBench
import samphirechute.bench.process.PublishBench
import samphirechute.bench.routing.ColdBench
import samphirechute.bench.routing.DecideBench
import samphirechute.bench.routing.DomainBench
import samphirechute.bench.routing.FairBench
import samphirechute.bench.routing.MemoryBench
import samphirechute.bench.routing.MixBench
import samphirechute.bench.routing.OverloadBench
import samphirechute.bench.routing.PlaceBench
import samphirechute.bench.stops.Beside
import samphirechute.bench.stops.StopsBench
import samphirechute.bench.store.Claims
import samphirechute.bench.store.Recover
import samphirechute.bench.sync.MembersBench
import kotlin.system.exitProcess

/** The benches by name, one line each. */
private fun benches(arguments: BenchArguments): Map<String, () -> Bench> =
    mapOf(
        "claims" to { Bench { seed, _ -> Claims.run(seed, ::println) } },
        "cold" to ::ColdBench,
        "copies" to { Bench { seed, _ -> StopsBench(arguments.seconds, Beside.Nothing, arguments.old).run(seed) } },
        "core" to { Bench { seed, _ -> CoreBench(arguments.seconds).run(seed) } },
        "decide" to ::DecideBench,
        "domain" to ::DomainBench,
        "fair" to ::FairBench,
        "footprint" to ::FootprintBench,
        "grants" to ::GrantsBench,
        "limits" to { Bench { seed, _ -> LimitsBench(arguments.seconds).run(seed) } },
        "members" to { Bench { seed, _ -> MembersBench.run(seed, ::println) } },
        "memory" to ::MemoryBench,
        "mix" to ::MixBench,
        "mixed" to { Bench { seed, _ -> MixedBench(arguments.old).run(seed) } },
        "overload" to ::OverloadBench,
        "path" to ::PathBench,
        "place" to ::PlaceBench,
        "publish" to ::PublishBench,
        "recover" to { Bench { seed, _ -> Recover.run(seed, ::println) } },
        "stops" to { Bench { seed, _ -> StopsBench(arguments.seconds, Beside.Stops, arguments.old).run(seed) } },
    )

/** The benches that last as long as `--seconds` says. */
private val TIMED = setOf("copies", "core", "limits", "stops")

private class BenchArguments {
    @Argument(metaVar = "NAME", required = true, usage = "the bench to run")
    var name = ""

    @Option(name = "--seed", metaVar = "N", usage = "seed of all random choices (default 1)")
    var seed = 1L

    @Option(
        name = "--old",
        metaVar = "DIR",
        usage = "of mixed, copies and stops: a checkout of an older revision with built jars (mvn -DskipTests package)",
    )
    var old: String? = null

    @Option(
        name = "--seconds",
        metaVar = "S",
        usage = "of copies, core, limits and stops: how long the run lasts (default 60)",
    )
    var seconds = 60L
}

fun main(args: Array<String>) {
    val arguments = BenchArguments()
    val parser = CmdLineParser(arguments)
    try {
        parser.parseArgument(*args)
    } catch (e: CmdLineException) {
        fail(parser, e.message.orEmpty())
    }
    val bench = benches(arguments)[arguments.name] ?: fail(parser, "unknown bench \"${arguments.name}\"")
    val old = arguments.old?.let { " --old $it" }.orEmpty()
    val seconds = if (arguments.name in TIMED) " --seconds ${arguments.seconds}" else ""
    println("# bin/bench ${arguments.name}$old --seed ${arguments.seed}$seconds")
    bench().run(arguments.seed, Figures())
}

private fun fail(
    parser: CmdLineParser,
    message: String,
): Nothing {
    System.err.println(message)
    System.err.println(
        "usage: bin/bench NAME [--seed N] [--old DIR] [--seconds S]; names: ${benches(
            BenchArguments(),
        ).keys.joinToString()}",
    )
    parser.printUsage(System.err)
    exitProcess(2)
}
