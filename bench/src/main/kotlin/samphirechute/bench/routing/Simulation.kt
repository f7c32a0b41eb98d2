package samphirechute.bench.routing

import org.HdrHistogram.Histogram
import samphirechute.core.FailureDomain
import samphirechute.core.RequestId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.GrantEnding
import kotlin.random.Random

/** Runs a workload over fake engines with one dispatcher, on virtual time. */
class Simulation(
    private val requests: List<SimRequest>,
    engineNames: List<String>,
    private val dispatcher: Dispatcher,
    seed: Long,
    private val domainOf: (String) -> FailureDomain = { FailureDomain("a") },
    private val areWarm: Boolean = true,
) {
    val timer = VirtualTimer()

    /** Time between tokens of all answers, in milliseconds. */
    val gapsMs = Histogram(GAP_DIGITS)
    var lost = 0
        private set
    val engines: Map<String, FakeEngine> = engineNames.associateWith(::engine)
    val dispatches = ArrayList<Pair<Long, String>>()

    private val random = Random(seed)
    private val byId = requests.associateBy { it.id }
    private val parts = HashMap<RequestId, List<String>>()

    /** Runs until [untilMs]; [actions] happen at their times. */
    fun run(
        untilMs: Long,
        actions: List<Pair<Long, (Simulation) -> Unit>> = emptyList(),
    ) {
        engines.values.forEach { engine -> timer.every(REPORT_MS) { sendReport(engine) } }
        engines.values.forEach { engine ->
            timer.after(0) { apply(dispatcher.reported(engine.report(), timer.nowMs())) }
        }
        timer.every(TICK_MS) { apply(dispatcher.ticked(timer.nowMs())) }
        for ((atMs, action) in actions) timer.after(atMs) { action(this) }
        for (request in requests) {
            timer.after(request.atMs + HOP_MS) { apply(dispatcher.ask(request, timer.nowMs())) }
        }
        timer.advanceTo(untilMs)
    }

    /** Restarts an engine cold; its requests fail. */
    fun restart(name: String) {
        for (request in engines.getValue(name).restart()) {
            lost++
            end(request, GrantEnding.FAILED)
        }
    }

    fun apply(decisions: List<Decision>) {
        for (decision in decisions) {
            when (decision) {
                is Decision.Refuse -> {
                    byId.getValue(decision.id).refusedMs = timer.nowMs()
                }

                is Decision.Dispatch -> {
                    timer.after(HOP_MS) { dispatch(decision) }
                }
            }
        }
    }

    private fun dispatch(decision: Decision.Dispatch) {
        val request = byId.getValue(decision.id)
        request.dispatchedMs = timer.nowMs()
        request.expectedFirstTokenMs = decision.expectedFirstTokenMs
        request.memoryLimit = decision.parts.first().second
        parts[request.id] = decision.parts.map { it.first }
        dispatches += timer.nowMs() to decision.parts.first().first
        for ((name, memory) in decision.parts.drop(1)) engines.getValue(name).lend(request.id, memory)
        engines.getValue(decision.parts.first().first).submit(request, decision.priority)
    }

    private fun end(
        request: SimRequest,
        ending: GrantEnding,
    ) {
        parts
            .remove(request.id)
            .orEmpty()
            .drop(1)
            .forEach { engines.getValue(it).giveBack(request.id) }
        if (ending == GrantEnding.COMPLETED) request.doneMs = timer.nowMs()
        timer.after(HOP_MS) { apply(dispatcher.ended(request, ending, timer.nowMs())) }
    }

    /** Reports arrive late, out of order at times, and one in twenty never. */
    private fun sendReport(engine: FakeEngine) {
        val report = engine.report()
        if (random.nextInt(LOST_ONE_IN) == 0) return
        timer.after(random.nextLong(MAX_LAG_MS)) { apply(dispatcher.reported(report, timer.nowMs())) }
    }

    private fun engine(name: String) =
        FakeEngine(
            name = name,
            domain = domainOf(name),
            timer = timer,
            isWarmAtStart = areWarm,
            onToken = { _, gapMs -> gapsMs.recordValue(gapMs) },
            onDone = { end(it, GrantEnding.COMPLETED) },
        )

    private companion object {
        const val HOP_MS = 1L
        const val TICK_MS = 50L
        const val REPORT_MS = 1_000L
        const val MAX_LAG_MS = 500L
        const val LOST_ONE_IN = 20
        const val GAP_DIGITS = 3
    }
}

/** The value below which the part [quantile] of these lies; 0 when there are none. */
fun List<Long>.quantile(quantile: Double): Double {
    if (isEmpty()) return 0.0
    val histogram = Histogram(3)
    forEach { histogram.recordValue(it.coerceAtLeast(0)) }
    return histogram.getValueAtPercentile(quantile * 100).toDouble()
}
