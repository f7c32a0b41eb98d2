package samphirechute.routing.placing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits
import samphirechute.routing.pace.PaceTable
import samphirechute.routing.quarantine.RequestQuarantine
import java.util.PriorityQueue
import kotlin.random.Random

/** One request of a [QueueLoad], and what its caller got. */
internal class Asked(
    val request: PlacementRequest,
    val atMs: Long,
    /** The caller leaves at this time, whatever happens; used for callers that leave early. */
    val leavesMs: Long = Long.MAX_VALUE,
) {
    var firstEventMs: Long? = null
    var refused: Placement.Refused? = null
    var decidedMs: Long? = null
    var placedMs: Long? = null

    val isInTime get() = firstEventMs?.let { it - atMs <= request.targetMs } ?: false

    /** What the answer is worth to customer 1. */
    val value: Double get() {
        if (firstEventMs == null) return 0.0
        return when {
            request.promptTokens > 100_000 -> if (isInTime) 30.0 else 7.5
            request.promptTokens > 20_000 -> if (isInTime) 2.6 else 0.66
            else -> if (isInTime) 1.4 else 0.34
        }
    }
}

/**
 * Engines and callers without a network. Engines prefill in the order of placement, [slowness] times slower than their profile
 * says, and then decode.
 */
internal class QueueLoad(
    private val createQueue: (PoolProfile) -> PoolQueue,
    private val engines: Int = 6,
    private val slowness: Double = 1.0,
    private val coldPerS: Double = 0.0,
) {
    private val asked = ArrayList<Asked>()

    /** What all answers are worth. */
    val value get() = asked.sumOf { it.value }
    private val doneMs = HashMap<UpstreamId, Double>()
    private val ends = PriorityQueue<Pair<Long, PlacementResult>>(compareBy { it.first })
    private var placer = newPlacer()

    fun ask(
        atMs: Long,
        promptTokens: Long,
        team: String? = null,
        priority: Int = 5,
        leavesAfterMs: Long? = null,
    ): Asked {
        val isLong = promptTokens > 100_000
        val isShort = promptTokens < 20_000
        val request =
            PlacementRequest(
                RequestId("r-${asked.size}"),
                InstanceId("i-0"),
                FailureDomain("domain-${asked.size % 3}"),
                ServiceName("drafts"),
                team = team?.let(::TeamName),
                priority = priority,
                promptTokens = promptTokens,
                // Of different length: slots that all become free at one moment leave callers between to wait, in any order.
                answerTokens = 400 + asked.size * 37 % 800L,
                targetMs =
                    if (isLong) {
                        4_000
                    } else if (isShort) {
                        300
                    } else {
                        1_500
                    },
                targetGapMs =
                    if (isLong) {
                        800
                    } else if (isShort) {
                        200
                    } else {
                        500
                    },
                deadlineMs = if (isLong) 15_000 else 10_000,
            )
        return Asked(request, atMs, leavesAfterMs?.let { atMs + it } ?: Long.MAX_VALUE).also { asked += it }
    }

    /** Plays until [untilMs]. The coordinator is replaced at [replacedMs] by one that is told only what runs. */
    fun play(
        untilMs: Long,
        replacedMs: Long = Long.MAX_VALUE,
    ) {
        val byId = asked.associateBy { it.request.request }
        val arrivals = ArrayDeque(asked.sortedBy { it.atMs })
        val departures = ArrayDeque(asked.filter { it.leavesMs < Long.MAX_VALUE }.sortedBy { it.leavesMs })
        for (nowMs in 0 until untilMs step STEP_MS) {
            if (nowMs - replacedMs in 0 until STEP_MS) replaceCoordinator(nowMs)
            while (ends.isNotEmpty() && ends.peek().first <= nowMs) {
                placer
                    .reportEnd(
                        ends.poll().second,
                        nowMs,
                    ).forEach { apply(byId.getValue(it.request.request), it.placement, nowMs) }
            }
            while (departures.isNotEmpty() && departures.first().leavesMs <= nowMs) {
                val left = departures.removeFirst()
                ends.removeIf { it.second.request == left.request.request }
                placer
                    .withdraw(
                        left.request.request,
                        nowMs,
                    ).forEach { apply(byId.getValue(it.request.request), it.placement, nowMs) }
            }
            while (arrivals.isNotEmpty() && arrivals.first().atMs <= nowMs) {
                val next = arrivals.removeFirst()
                placer.place(next.request, nowMs)?.let { apply(next, it, nowMs) }
            }
            if (nowMs % TICK_MS ==
                0L
            ) {
                placer.tick(nowMs).forEach { apply(byId.getValue(it.request.request), it.placement, nowMs) }
            }
        }
    }

    /** Requests that wait are asked for again at the successor, as their instances do, and what runs is reported to it. */
    private fun replaceCoordinator(nowMs: Long) {
        placer = newPlacer()
        asked.filter { it.atMs < nowMs && it.decidedMs == null }.forEach { waiting ->
            val again = waiting.request.copy(elapsedMs = nowMs - waiting.atMs)
            placer.place(again, nowMs)?.let { apply(waiting, it, nowMs) }
        }
        ends.forEach { (_, result) ->
            val request = asked.first { it.request.request == result.request }.request
            placer.recordPlacement(request, result.upstream, nowMs)
        }
    }

    private fun apply(
        to: Asked,
        placement: Placement,
        nowMs: Long,
    ) {
        to.decidedMs = nowMs
        when (placement) {
            is Placement.Refused -> to.refused = placement
            is Placement.Granted -> start(to, placement, nowMs)
        }
    }

    private fun start(
        to: Asked,
        granted: Placement.Granted,
        nowMs: Long,
    ) {
        to.placedMs = nowMs
        val used = listOf(granted.upstream) + granted.helpers.map { it.upstream }
        val partMs = ENGINE.prefillMs(to.request.promptTokens) / used.size * slowness
        used.forEach { doneMs[it] = maxOf(doneMs[it] ?: 0.0, nowMs.toDouble()) + partMs }
        val firstMs = used.maxOf { doneMs.getValue(it) }.toLong() + PASS_MS
        to.firstEventMs = firstMs
        val result =
            PlacementResult(to.request.request, granted.upstream, PlacementOutcome.DONE, firstMs - nowMs)
        ends += firstMs + to.request.answerTokens to result
    }

    private fun newPlacer() =
        Placer(
            null,
            UpstreamLimits(),
            RequestQuarantine(InstanceId("placer")),
            EngineRules.ADAPTIVE,
            PaceTable(Random(0)) { 1 },
            createQueue,
        ).apply {
            setPools(listOf(PoolProfile(ServiceName("drafts"), ENGINE, coldRequestsPerS = coldPerS)))
            setUpstreams(List(engines, ::target))
        }

    private fun target(index: Int) =
        PlacementTarget(
            UpstreamId("engine-$index"),
            ServiceName("drafts"),
            HostPort("10.0.0.$index", 8080),
            FailureDomain("domain-${index % 3}"),
            ENGINE.slots,
        )

    companion object {
        const val SHORT = 5_000L
        const val MEDIUM = 45_000L
        const val LONG = 300_000L
        private const val STEP_MS = 5L
        private const val TICK_MS = 20L
        private const val PASS_MS = 70L

        /** The engines of customer 1. */
        private val ENGINE = EngineProfile(8, 450_000, 46, 0.925, 0.007, 0.00254, 256.0, 0.0917, 2_048, 0.1)
    }
}
