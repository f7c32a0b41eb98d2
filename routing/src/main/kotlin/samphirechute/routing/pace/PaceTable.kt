package samphirechute.routing.pace

import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId
import kotlin.random.Random

/**
 * Decides for each upstream whether it may be granted a request now. It is soft state of one placer. [placers] gives the
 * number of placers that place on the same upstreams without seeing each other's requests, this one included.
 *
 * The cold rate is a bound that nothing exceeds. The pace that follows from the responses is a preference: upstreams
 * that are beyond theirs are left to requests that find no others.
 */
class PaceTable(
    private val random: Random,
    /** If false, only the cold rate counts. */
    private val isAdaptive: Boolean = true,
    private val placers: () -> Int,
) {
    private val budgets = HashMap<UpstreamId, ColdBudget>()
    private val paces = HashMap<UpstreamId, UpstreamPace>()

    /** The failure domains among which the placers are divided, each of which places in its own. */
    private var domains = 1
    private var isShared = false
    private var coordinatesSinceMs = Long.MIN_VALUE / 2

    /** Receives each change of a pace. */
    var onChange: (PaceChange) -> Unit = {}

    /** The part of its usual load that each upstream is given; 1 for undisturbed ones. */
    val parts: Map<UpstreamId, Double> get() = paces.mapValues { it.value.part }

    /**
     * Forgets all but [upstreams]. Placers without a coordinator keep to their own failure domain while it has upstreams, so only
     * those of one of the [domains] share an upstream. With the count of all instances, callers in a failure domain that was cut
     * off waited 0.2 to 1.4 s for a placement.
     */
    fun retain(
        upstreams: Set<UpstreamId>,
        domains: Int = 1,
    ) {
        this.domains = maxOf(1, domains)
        budgets.keys.retainAll(upstreams)
        paces.keys.retainAll(upstreams)
        isShared = isShared || placers() > 1
    }

    /** Returns whether [upstream], which serves [coldPerS] requests per second while it is cold, may get one now. */
    fun isUnderColdRate(
        upstream: UpstreamId,
        coldPerS: Double,
        nowMs: Long,
    ): Boolean {
        if (coldPerS <= 0) return true
        val count = countPlacers(nowMs)
        return budget(upstream).mayGrant(coldPerS, count, coordinatesSinceMs, nowMs)
    }

    /** Returns whether [upstream] may get a request without exceeding the pace that follows from its responses. */
    fun mayGrant(
        upstream: UpstreamId,
        load: PaceLoad,
        nowMs: Long,
    ): Boolean {
        val pace = paces[upstream] ?: return true
        change(upstream, pace) { it.relax(nowMs) }
        return pace.mayGrant(load, nowMs)
    }

    /**
     * Counts a request, or a part of a prompt with [promptTokens], that [upstream] is sent now. It [isOwn] if this
     * placer has granted it.
     */
    fun recordGrant(
        upstream: UpstreamId,
        coldPerS: Double,
        promptTokens: Long,
        isOwn: Boolean,
        nowMs: Long,
    ) {
        if (coldPerS > 0) budget(upstream).recordGrant(coldPerS, countPlacers(nowMs), isOwn, nowMs)
        if (isAdaptive) paces.getOrPut(upstream) { UpstreamPace() }.recordGrant(promptTokens, nowMs)
    }

    /** Takes in a response that was sent for from [from]; see [UpstreamPace.recordAnswer]. */
    fun recordAnswer(
        upstream: UpstreamId,
        response: PacedResponse,
        nowMs: Long,
    ) {
        val pace = paces[upstream] ?: return
        change(upstream, pace) { it.recordAnswer(response, nowMs) }
    }

    /** Takes in that [upstream] failed, stalled, refused or could not be reached for a request granted at [grantedMs]. */
    fun recordFailure(
        upstream: UpstreamId,
        from: FailureDomain?,
        grantedMs: Long,
        nowMs: Long,
    ) {
        val pace = paces[upstream] ?: return
        change(upstream, pace) { it.recordFailure(from, grantedMs, nowMs) }
    }

    private fun change(
        upstream: UpstreamId,
        pace: UpstreamPace,
        update: (UpstreamPace) -> PaceCause?,
    ) {
        val before = pace.part
        val cause = update(pace) ?: return
        onChange(PaceChange(upstream, cause, before, pace.part, pace.usualPerS))
    }

    /** Returns the number of placers, and notes since when this one has placed alone. */
    private fun countPlacers(nowMs: Long): Int {
        val all = placers()
        val count = if (all <= 1) all else maxOf(2, (all + domains - 1) / domains)
        if (isShared && count <= 1) coordinatesSinceMs = nowMs
        isShared = count > 1
        return count
    }

    private fun budget(upstream: UpstreamId) = budgets.getOrPut(upstream) { ColdBudget(random) }
}
