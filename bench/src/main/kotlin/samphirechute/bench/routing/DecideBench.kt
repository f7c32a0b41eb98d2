package samphirechute.bench.routing

import org.HdrHistogram.Histogram
import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamReport
import samphirechute.routing.ledger.DomainLedger
import samphirechute.routing.ledger.LedgerInput
import samphirechute.routing.ledger.LedgerOutput

/**
 * The processor time of one decision, a grant asked for and given, with 10 requests running on each upstream. The
 * baseline is the choice by least outstanding requests over the same number of upstreams.
 */
class DecideBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        val sizes = listOf(25, 100, 600)
        sizes.forEach { measure(it, seed) }
        val results = sizes.map { measure(it, seed) to measureBaseline(it, seed) }
        for ((size, result) in sizes.zip(results)) {
            val (ledger, baseline) = result
            figures.add("decide.$size.mean_us", ledger.mean / NS_PER_US, baseline.mean / NS_PER_US)
            figures.add("decide.$size.p50_us", ledger.at(50.0), baseline.at(50.0))
            figures.add("decide.$size.p99_us", ledger.at(99.0), baseline.at(99.0))
        }
        val (first, last) = results.first().first to results.last().first
        figures.add("decide.growth_25_to_600", last.mean / first.mean, 600.0 / 25)
    }

    private fun measure(
        size: Int,
        seed: Long,
    ): Histogram {
        val ledger = DomainLedger()
        ledger.handle(LedgerInput.EpochBegan(1), 0)
        var nowMs = START_MS
        var tickedMs = nowMs
        var reportedMs = nowMs
        val reports = List(size) { reportOf(it) }
        reports.forEach { ledger.handle(LedgerInput.UpstreamReported(it), nowMs) }
        val requests = Workload(seed, size, 0.8, TRACE_MS / size, hasLong = false, hasPrefixes = true).requests()
        val held = ArrayDeque<Grant>()
        val histogram = Histogram(3)
        var sequence = 1L
        for (request in requests.take(DECISIONS)) {
            nowMs = START_MS + request.atMs
            if (nowMs - tickedMs >= TICK_MS) {
                tickedMs = nowMs
                ledger.handle(LedgerInput.Ticked, nowMs)
            }
            val input = LedgerInput.GrantRequested(request.grantRequest(nowMs).copy(firstTokenRemainingMs = 5_000))
            val startNs = System.nanoTime()
            val outputs = ledger.handle(input, nowMs)
            histogram.recordValue(System.nanoTime() - startNs)
            outputs.filterIsInstance<LedgerOutput.Granted>().forEach { held += it.grant }
            while (held.size > size * RUNNING) {
                val grant = held.removeFirst()
                val result = GrantResult(GrantEnding.COMPLETED, grant.expectedFirstTokenMs, 20.0, 200)
                for (output in ledger.handle(LedgerInput.GrantReleased(grant.key, result), nowMs)) {
                    if (output is LedgerOutput.Granted) held += output.grant
                }
            }
            if (nowMs - reportedMs >= REPORT_MS) {
                reportedMs = nowMs
                sequence++
                reports.forEach { ledger.handle(LedgerInput.UpstreamReported(it.copy(sequence = sequence)), nowMs) }
                held
                    .groupBy { it.key.instance }
                    .forEach { (instance, grants) -> ledger.handle(LedgerInput.GrantsRenewed(instance, grants), nowMs) }
            }
        }
        return histogram
    }

    private fun measureBaseline(
        size: Int,
        seed: Long,
    ): Histogram {
        val least = LeastOutstanding(List(size) { "e$it" })
        val requests = Workload(seed, size, 0.8, TRACE_MS / size, hasLong = false).requests().take(DECISIONS)
        val histogram = Histogram(3)
        for (request in requests) {
            val startNs = System.nanoTime()
            least.ask(request, 0)
            histogram.recordValue(System.nanoTime() - startNs)
        }
        return histogram
    }

    private fun reportOf(index: Int) =
        UpstreamReport(
            upstream = UpstreamId("e$index"),
            failureDomain = FailureDomain("a"),
            address = HostPort("127.0.0.1", 1),
            generation = 1,
            sequence = 1,
            kind = UpstreamKind.ENGINE,
            pools = setOf(SimRequest.POOL),
            capacity =
                EngineModel.CAPACITY.copy(
                    coldConcurrency = EngineModel.MAX_CONCURRENCY,
                    coldPrefillTokens = 1_000_000,
                ),
        )

    private fun Histogram.at(percentile: Double) = getValueAtPercentile(percentile) / NS_PER_US

    private companion object {
        const val NS_PER_US = 1_000.0
        const val TRACE_MS = 25_000_000L
        const val DECISIONS = 60_000
        const val RUNNING = 10
        const val START_MS = 2_000L
        const val TICK_MS = 50L
        const val REPORT_MS = 500L
    }
}
