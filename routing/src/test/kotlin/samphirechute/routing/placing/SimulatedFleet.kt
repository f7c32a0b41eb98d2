package samphirechute.routing.placing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.pace.PaceTable
import samphirechute.routing.quarantine.RequestQuarantine
import kotlin.random.Random

/** A kind of prompt, with what its caller expects and what a response is worth. */
internal enum class PromptKind(
    val tokens: Long,
    val answerTokens: Long,
    val targetMs: Long,
    val gapMs: Long,
    val deadlineMs: Long,
    val value: Double,
    val lateValue: Double,
) {
    SHORT(5_000, 1_600, 300, 200, 10_000, 1.4, 0.34),
    MEDIUM(45_000, 960, 1_500, 500, 10_000, 2.6, 0.66),
    LONG(300_000, 780, 4_000, 800, 15_000, 30.0, 7.5),
}

internal class Arrival(
    val atMs: Long,
    val kind: PromptKind,
    val domain: Int,
)

/** What the callers of one run got. */
internal class Served(
    val offered: Double,
) {
    var value = 0.0
    val share get() = value / offered
}

/**
 * Engines that work in passes as [EngineProfile] describes, each slower than the profile by its factor, behind one
 * [Placer]. Callers leave when they have waited for as long as [PlacementRequest.abandonAfterMs].
 */
internal class SimulatedFleet(
    rules: EngineRules,
    slowness: List<Double>,
    /** What the placer is told about the engines. */
    private val assumed: EngineProfile = PlacingFixture.PROFILE,
    /** Times at which an engine fails, by its index: all that it runs is lost, and it is back at once. */
    private val failuresMs: Map<Int, List<Long>> = emptyMap(),
) {
    private val engines = slowness.mapIndexed(::SimulatedEngine)
    private val byId = engines.associateBy { it.target.id }
    private val pace = PaceTable(Random(0)) { 1 }
    private val placer =
        Placer(null, UpstreamLimits(), RequestQuarantine(InstanceId("test")), rules, pace, ::WorkQueue)
    private val open = LinkedHashMap<RequestId, Running>()
    private var nowMs = 0L

    fun serve(arrivals: List<Arrival>): Served {
        placer.setPools(listOf(PoolProfile(SERVICE, assumed)))
        placer.setUpstreams(engines.map { it.target })
        val served = Served(arrivals.sumOf { it.kind.value })
        val waiting = ArrayDeque(arrivals)
        while ((waiting.isNotEmpty() || open.isNotEmpty()) && nowMs < arrivals.last().atMs + 30_000) {
            nowMs += STEP_MS
            failuresMs.forEach { (index, times) -> if (times.any { it in nowMs - STEP_MS + 1..nowMs }) fail(index) }
            while (waiting.isNotEmpty() && waiting.first().atMs <= nowMs) arrive(waiting.removeFirst())
            engines.forEach { it.advance() }
            leave()
            apply(placer.tick(nowMs))
            open.values.filter { it.isDone }.forEach { end(it, PlacementOutcome.DONE, served) }
        }
        return served
    }

    private fun arrive(arrival: Arrival) {
        val kind = arrival.kind
        val request =
            PlacementRequest(
                RequestId("r-${nextId++}"),
                InstanceId("i"),
                FailureDomain("domain-${arrival.domain}"),
                SERVICE,
                promptTokens = kind.tokens,
                answerTokens = kind.answerTokens,
                targetMs = kind.targetMs,
                targetGapMs = kind.gapMs,
                deadlineMs = kind.deadlineMs,
            )
        val running = Running(request, kind, nowMs).also { open[request.request] = it }
        placer.place(request, nowMs)?.let { decided(running, it) }
    }

    private fun apply(decisions: List<PlacementDecision>) =
        decisions.forEach { decision -> open[decision.request.request]?.let { decided(it, decision.placement) } }

    private fun decided(
        running: Running,
        placement: Placement,
    ) {
        if (placement !is Placement.Granted) {
            open -= running.request.request
            return
        }
        val used = (listOf(placement.upstream) + placement.helpers.map { it.upstream }).map(byId::getValue)
        running.engines = used
        running.placedMs = nowMs
        running.partsLeft = used.size
        val partMs = PlacingFixture.PROFILE.prefillMs(running.request.promptTokens) / used.size
        used.forEach { it.waiting += running to partMs }
        used.first().heads += running
    }

    private fun leave() {
        val left = open.values.filter { it.lastEventMs + it.request.abandonAfterMs < nowMs }
        left.forEach { end(it, PlacementOutcome.CANCELLED, null) }
    }

    private fun fail(index: Int) {
        val lost = open.values.filter { engines[index] in it.engines }
        lost.forEach { end(it, PlacementOutcome.FAILED, null, engines[index].target.id) }
    }

    private fun end(
        running: Running,
        outcome: PlacementOutcome,
        served: Served?,
        failed: UpstreamId? = null,
    ) {
        val request = running.request.request
        open -= request
        running.engines.forEach { it.drop(running) }
        served?.let { count(running, it) }
        val head = running.engines.firstOrNull() ?: return apply(placer.withdraw(request, nowMs))
        // A failed helper is reported by name, and the end of the prompt by the one that answers.
        val failedHelper = failed?.takeIf { it != head.target.id }
        failedHelper?.let { apply(placer.reportEnd(PlacementResult(request, it, outcome), nowMs)) }
        val headOutcome = if (failedHelper == null) outcome else PlacementOutcome.CANCELLED
        val firstByteMs = running.firstEventMs?.let { it - running.placedMs }
        apply(placer.reportEnd(PlacementResult(request, head.target.id, headOutcome, firstByteMs), nowMs))
    }

    private fun count(
        running: Running,
        served: Served,
    ) {
        val kind = running.kind
        val firstMs = (running.firstEventMs ?: return) - running.arrivedMs
        val isInTime = firstMs <= kind.targetMs && running.longestGapMs <= kind.gapMs
        served.value += if (isInTime) kind.value else kind.lateValue
    }

    private class Running(
        val request: PlacementRequest,
        val kind: PromptKind,
        val arrivedMs: Long,
    ) {
        var engines = emptyList<SimulatedEngine>()
        var placedMs = 0L
        var partsLeft = 0
        var firstEventMs: Long? = null
        var lastEventMs = arrivedMs
        var longestGapMs = 0L
        var decoded = 0L
        val isDone get() = decoded >= request.answerTokens
    }

    private inner class SimulatedEngine(
        index: Int,
        private val slowness: Double,
    ) {
        val target =
            PlacementTarget(
                UpstreamId("engine-$index"),
                SERVICE,
                HostPort("10.0.0.$index", 80),
                FailureDomain("domain-${index % 3}"),
                PlacingFixture.SLOTS,
            )
        val waiting = ArrayList<Pair<Running, Double>>()
        val heads = LinkedHashSet<Running>()
        private var prefilling = emptyList<Running>()
        private var decoding = emptyList<Running>()
        private var passEndsMs = 0.0

        fun advance() {
            if (nowMs < passEndsMs) return
            prefilling.forEach { it.partsLeft-- }
            decoding.filter { it in heads }.forEach(::sendEvent)
            prefilling = waiting.map { it.first }
            decoding = heads.filter { it.partsLeft == 0 || (it in prefilling && it.partsLeft == 1) }
            val context = decoding.sumOf { it.request.promptTokens + it.decoded }
            val workMs = waiting.sumOf { it.second } + PlacingFixture.PROFILE.passMs(decoding.size, context)
            waiting.clear()
            passEndsMs = nowMs + workMs * slowness
        }

        private fun sendEvent(running: Running) {
            if (running.firstEventMs == null) {
                running.firstEventMs = nowMs
            } else {
                running.longestGapMs = maxOf(running.longestGapMs, nowMs - running.lastEventMs)
            }
            running.lastEventMs = nowMs
            running.decoded += PlacingFixture.PROFILE.stepsPerPass
        }

        fun drop(running: Running) {
            heads -= running
            waiting.removeIf { it.first === running }
        }
    }

    companion object {
        private const val STEP_MS = 5L
        private val SERVICE = ServiceName("drafts")
        private var nextId = 0
    }
}
