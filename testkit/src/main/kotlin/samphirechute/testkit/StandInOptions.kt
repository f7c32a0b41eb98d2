package samphirechute.testkit

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.core.HostPort

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

    val listenAddress: HostPort get() = requireNotNull(HostPort.parse(listen)) { "--listen takes IP:PORT" }
    val announceTo: List<HostPort> get() = announce.split(',').filter { it.isNotBlank() }.mapNotNull(HostPort::parse)
    val poolNames: List<String> get() = pools.split(',').filter { it.isNotBlank() }
}
