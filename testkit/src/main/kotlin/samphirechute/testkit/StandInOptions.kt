package samphirechute.testkit

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.core.HostPort
import samphirechute.testkit.engine.EngineSettings

/** Options of the stand-in processes, `standin engine` and `standin application`. */
class StandInOptions {
    @Argument(index = 0, required = true, metaVar = "KIND", usage = "engine or application")
    var kind: String = "engine"

    @Option(name = "--id", required = true, metaVar = "ID", usage = "identifier that is announced")
    var id: String = ""

    @Option(name = "--failure-domain", required = true, metaVar = "NAME", usage = "failure domain that is announced")
    var failureDomain: String = ""

    @Option(name = "--listen", required = true, metaVar = "IP:PORT", usage = "address to listen on")
    var listen: String = ""

    @Option(name = "--announce", metaVar = "IP:PORT,...", usage = "instances to announce to, tried in turn")
    var announce: String = ""

    @Option(name = "--pools", required = true, metaVar = "NAME,...", usage = "models or application served")
    var pools: String = ""

    @Option(name = "--key-file", metaVar = "FILE", usage = "file with the key of the upstream role")
    var keyFile: String? = null

    @Option(name = "--max-concurrency", metaVar = "N", usage = "requests at a time when warm (default 32)")
    var maxConcurrency: Int = 32

    @Option(name = "--cold-concurrency", metaVar = "N", usage = "requests at a time when cold (default 4)")
    var coldConcurrency: Int = 4

    @Option(name = "--memory-tokens", metaVar = "N", usage = "KV memory in tokens (default 400000)")
    var memoryTokens: Long = 400_000

    @Option(name = "--prefill-rate", metaVar = "N", usage = "prefill tokens per second (default 40000)")
    var prefillTokensPerSecond: Double = 40_000.0

    @Option(name = "--decode-step-ms", metaVar = "N", usage = "time between tokens (default 15)")
    var decodeStepMs: Double = 15.0

    @Option(name = "--checks-fencing", usage = "refuse orders that carry an old fencing number")
    var checksFencing: Boolean = false

    @Option(name = "--cold-prefill", metaVar = "N", usage = "prefill tokens at a time when cold (default 8192)")
    var coldPrefillTokens: Long = 8_192

    @Option(name = "--prefill-chunk", metaVar = "N", usage = "prefill tokens of one step (default 2048)")
    var prefillChunkTokens: Long = 2_048

    @Option(name = "--warm-up-ms", metaVar = "N", usage = "work after which a cold engine is warm (default 10000)")
    var warmUpMs: Long = 10_000

    @Option(name = "--starts-cold", usage = "start cold, as an engine without compiled kernels does")
    var startsCold: Boolean = false

    @Option(name = "--restart-ms", metaVar = "N", usage = "time down after falling over (default 3000)")
    var restartMs: Long = 3_000

    @Option(name = "--report-lag-ms", metaVar = "N", usage = "age of the load that is reported (default 500)")
    var reportLagMs: Long = 500

    @Option(name = "--cache-lag-ms", metaVar = "N", usage = "age of the cache events that are reported (default 1000)")
    var cacheLagMs: Long = 1_000

    @Option(name = "--cache-loss", metaVar = "SHARE", usage = "share of cache reports that are lost (default 0.1)")
    var cacheLossShare: Double = 0.1

    @Option(name = "--late-ms", metaVar = "N", usage = "delay of the fault 'late' (default 3000)")
    var lateMs: Long = 3_000

    @Option(name = "--service-ms", metaVar = "N", usage = "time of one execution of an application (default 0)")
    var serviceMs: Long = 0

    @Option(name = "--seed", metaVar = "N", usage = "seed of the random choices (default 1)")
    var seed: Int = 1

    val listenAddress: HostPort get() = requireNotNull(HostPort.parse(listen)) { "--listen takes IP:PORT" }
    val announceTo: List<HostPort> get() = announce.split(',').filter { it.isNotBlank() }.mapNotNull(HostPort::parse)
    val poolNames: List<String> get() = pools.split(',').filter { it.isNotBlank() }

    fun engineSettings() =
        EngineSettings(
            maxConcurrency = maxConcurrency,
            memoryTokens = memoryTokens,
            prefillTokensPerSecond = prefillTokensPerSecond,
            decodeStepMs = decodeStepMs,
            prefillChunkTokens = prefillChunkTokens,
            coldConcurrency = coldConcurrency,
            coldPrefillTokens = coldPrefillTokens,
            warmUpMs = warmUpMs,
            startsCold = startsCold,
            restartMs = restartMs,
            reportLagMs = reportLagMs,
            cacheLagMs = cacheLagMs,
            cacheLossShare = cacheLossShare,
            checksFencing = checksFencing,
        )
}
