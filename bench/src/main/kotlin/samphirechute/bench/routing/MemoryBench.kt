package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamCapacity
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.UpstreamReport
import samphirechute.routing.ledger.DomainLedger
import samphirechute.routing.ledger.LedgerInput
import samphirechute.routing.ledger.LedgerOutput
import kotlin.random.Random

/**
 * Thousands of gangs on engines that only keep memory, while holders, engines and coordinators die at random and
 * messages to release are lost. At the end all work stops, and memory still held after the stated time has leaked.
 */
class MemoryBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) {
            val run = GangRun(user.engines, seed).apply { run() }
            val name = "memory.${user.label}"
            figures.add("$name.gangs_asked", run.asked)
            figures.add("$name.gangs_granted", run.granted)
            figures.add("$name.gangs_refused", run.refused)
            figures.add("$name.gangs_unanswered", run.unanswered)
            figures.add("$name.gang_wait_max_ms", run.longestWaitMs)
            figures.add("$name.deaths", run.deaths)
            figures.add("$name.engine_over_memory", run.overMemory)
            figures.add("$name.leaked_tokens_after_${GangRun.STATED_MS}_ms", run.leakedTokens)
            figures.add("$name.ledger_tokens_after_${GangRun.STATED_MS}_ms", run.ledgerTokens)
        }
    }
}

private class GangRun(
    engines: Int,
    seed: Long,
) {
    var asked = 0L
    var granted = 0L
    var refused = 0L
    var deaths = 0L
    var overMemory = 0L
    var longestWaitMs = 0L
    val unanswered: Long get() = asked - granted - refused - abandoned
    val leakedTokens: Long get() = memory.values.sumOf { it.held.values.sum() }
    val ledgerTokens: Long get() = ledger.views(timer.nowMs()).sumOf { it.usedMemoryTokens }

    private var abandoned = 0L
    private val random = Random(seed)
    private val timer = VirtualTimer()
    private val memory = List(engines) { "e$it" }.associateWith { EngineMemory() }
    private val held = HashMap<InstanceId, HashMap<RequestId, Grant>>()
    private val askedMs = HashMap<RequestId, Long>()
    private var incarnation = 0
    private var epoch = 1L
    private var ledger = DomainLedger()

    fun run() {
        send(LedgerInput.EpochBegan(epoch))
        timer.every(50) { send(LedgerInput.Ticked) }
        timer.every(1_000) { memory.keys.forEach(::report) }
        timer.every(500) {
            held.forEach { (instance, grants) -> send(LedgerInput.GrantsRenewed(instance, grants.values.toList())) }
        }
        val asking = timer.every(100) { if (random.nextInt(3) == 0) ask() }
        val dying = timer.every(1_000) { die() }
        timer.advanceTo(RUN_MS)
        asking.cancel()
        dying.cancel()
        // Every grant has ended by itself after the longest run; the stated time counts from there.
        timer.advanceTo(RUN_MS + MAX_WAIT_MS + MAX_RUN_MS + STATED_MS)
    }

    private fun ask() {
        asked++
        val tokens = random.nextLong(420_000, 1_300_000)
        val request =
            SimRequest(asked.toInt(), timer.nowMs(), 0, tokens, 1, MAX_WAIT_MS, 600_000)
                .grantRequest(timer.nowMs())
                .copy(instance = InstanceId("i${random.nextInt(5)}-$incarnation"))
        askedMs[request.requestId] = timer.nowMs()
        send(LedgerInput.GrantRequested(request))
        if (random.nextInt(20) == 0) {
            timer.after(random.nextLong(3_000)) {
                if (askedMs.remove(request.requestId) != null) {
                    abandoned++
                    send(LedgerInput.RequestWithdrawn(request.key))
                }
            }
        }
    }

    private fun send(input: LedgerInput) {
        for (output in ledger.handle(input, timer.nowMs())) {
            when (output) {
                is LedgerOutput.Granted -> {
                    start(output.grant)
                }

                is LedgerOutput.Refused -> {
                    if (askedMs.remove(output.key.requestId) != null) refused++
                }

                is LedgerOutput.Reclaim -> {
                    val engine = memory.getValue(output.upstream.value)
                    if (random.nextInt(4) > 0) engine.held.remove(output.requestId)
                }

                is LedgerOutput.RecordEvent -> {}
            }
        }
    }

    private fun start(grant: Grant) {
        val since = askedMs.remove(grant.key.requestId) ?: return
        granted++
        longestWaitMs = maxOf(longestWaitMs, timer.nowMs() - since)
        held.getOrPut(grant.key.instance) { HashMap() }[grant.key.requestId] = grant
        for (part in grant.parts) {
            val engine = memory.getValue(part.upstream.value)
            if (engine.generation != part.generation) continue
            engine.held[grant.key.requestId] = part.memoryTokens
            if (engine.held.values.sum() > EngineModel.MEMORY_TOKENS) overMemory++
        }
        timer.after(random.nextLong(100, MAX_RUN_MS)) { finish(grant) }
    }

    /** The holder ends its grant; one release in ten is lost, and one in five requests is cancelled or fails. */
    private fun finish(grant: Grant) {
        held[grant.key.instance]?.remove(grant.key.requestId) ?: return
        val ending = if (random.nextInt(5) == 0) GrantEnding.entries.random(random) else GrantEnding.COMPLETED
        val mayHold = ending in setOf(GrantEnding.CANCELLED, GrantEnding.FAILED, GrantEnding.SILENT)
        val isFreed = !mayHold || random.nextBoolean()
        if (isFreed) grant.parts.forEach { memory.getValue(it.upstream.value).held -= grant.key.requestId }
        if (random.nextInt(10) > 0) send(LedgerInput.GrantReleased(grant.key, GrantResult(ending)))
    }

    private fun die() {
        when (random.nextInt(12)) {
            0 -> {
                held.keys.randomOrNull(random)?.let { held -= it }
            }

            1 -> {
                memory.values.random(random).restart()
            }

            2 -> {
                // The successor knows nothing, and starts when the old lease has ended.
                ledger = DomainLedger()
                abandoned += askedMs.size
                askedMs.clear()
                send(LedgerInput.EpochBegan(++epoch))
            }

            else -> {
                return
            }
        }
        deaths++
        incarnation++
    }

    private fun report(name: String) {
        val engine = memory.getValue(name)
        val report =
            UpstreamReport(
                upstream = UpstreamId(name),
                failureDomain = FailureDomain("a"),
                address = HostPort("127.0.0.1", 1),
                generation = engine.generation,
                sequence = ++engine.sequence,
                kind = UpstreamKind.ENGINE,
                pools = setOf(SimRequest.POOL),
                capacity = CAPACITY,
                load = UpstreamLoad(engine.held.size, 0, engine.held.values.sum(), engine.held.toMap()),
            )
        if (random.nextInt(20) > 0) timer.after(random.nextLong(500)) { send(LedgerInput.UpstreamReported(report)) }
    }

    private class EngineMemory {
        val held = HashMap<RequestId, Long>()
        var generation = 1L
        var sequence = 0L

        fun restart() {
            held.clear()
            generation++
            sequence = 0
        }
    }

    companion object {
        /** The lease, the time after which an unknown holder's memory is reclaimed, and reports with repeats. */
        const val STATED_MS = 10_000L
        private const val RUN_MS = 2_000_000L
        private const val MAX_WAIT_MS = 30_000L
        private const val MAX_RUN_MS = 3_000L
        private val CAPACITY =
            UpstreamCapacity(
                maxConcurrency = 16,
                memoryTokens = EngineModel.MEMORY_TOKENS,
                prefillTokensPerSecond = 1e7,
                decodeStepMs = 1.0,
                coldConcurrency = 16,
                coldPrefillTokens = 10_000_000,
            )
    }
}
