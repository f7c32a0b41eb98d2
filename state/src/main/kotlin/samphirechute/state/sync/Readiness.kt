package samphirechute.state.sync

import samphirechute.core.InstanceId

/**
 * Decides when a started instance may accept requests. The instance asks all store members and the peers of its failure
 * domain for the highest revision, and waits up to [READINESS_WAIT_MS] for all of them. It needs at least one
 * sufficient answer: one that brings a configuration, or comes from an up-to-date store member. Until then it keeps
 * asking.
 */
internal class Readiness(
    private val peersToAsk: Set<InstanceId>,
) {
    private val pending = peersToAsk.toMutableSet()
    private val peersToRetry = mutableSetOf<InstanceId>()
    private val failures = mutableMapOf<InstanceId, Int>()
    private var startedMs: Long? = null
    private var nextAskMs = Long.MIN_VALUE

    /** Whether a sufficient answer has arrived. */
    private var hasAnswer = false

    var isReady = false
        private set

    /** The peers to ask now. */
    fun duePeers(nowMs: Long): Set<InstanceId> {
        if (isReady) return emptySet()
        val repeated = peersToRetry.toSet().also { peersToRetry.clear() }
        if (nowMs < nextAskMs) return repeated
        if (startedMs == null) startedMs = nowMs
        nextAskMs = nowMs + RANDOM_PERIOD_MS
        // Peers that have answered are asked again only while there is no sufficient answer.
        return repeated + if (hasAnswer) emptySet() else peersToAsk
    }

    fun onAnswer(
        from: InstanceId,
        isSufficient: Boolean,
    ) {
        pending -= from
        hasAnswer = hasAnswer || isSufficient
    }

    /** One failure may be a lost message, so a peer counts as failed only after [MAX_ATTEMPTS]. */
    fun onFailure(from: InstanceId) {
        if (from !in pending) return
        val count = failures.merge(from, 1, Int::plus) ?: 1
        if (count < MAX_ATTEMPTS) peersToRetry += from else pending -= from
    }

    /** Returns true exactly once, when the instance becomes ready. */
    fun check(nowMs: Long): Boolean {
        val started = startedMs ?: return false
        if (isReady || !hasAnswer || (pending.isNotEmpty() && nowMs - started < READINESS_WAIT_MS)) return false
        isReady = true
        return true
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
