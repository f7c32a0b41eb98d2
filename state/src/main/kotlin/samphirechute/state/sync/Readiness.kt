package samphirechute.state.sync

import samphirechute.core.InstanceId

/**
 * Whether a started instance may take requests. It asks all stores and the peers of its domain for the highest
 * revision, waits for all of them up to [READINESS_WAIT_MS], and needs one answer that holds a configuration or comes
 * from a store member that is up to date. Without one it keeps asking.
 */
internal class Readiness(
    private val toAsk: Set<InstanceId>,
) {
    private val pending = toAsk.toMutableSet()
    private val toRepeat = mutableSetOf<InstanceId>()
    private val failures = mutableMapOf<InstanceId, Int>()
    private var startedMs: Long? = null
    private var nextAskMs = Long.MIN_VALUE
    private var hasAnswer = false

    var isReady = false
        private set

    /** Whom to ask now. */
    fun dueAsks(nowMs: Long): Set<InstanceId> {
        if (isReady) return emptySet()
        val repeated = toRepeat.toSet().also { toRepeat.clear() }
        if (nowMs < nextAskMs) return repeated
        if (startedMs == null) startedMs = nowMs
        nextAskMs = nowMs + RANDOM_PERIOD_MS
        // Those that have answered are asked again only when no answer counted.
        return repeated + if (hasAnswer) emptySet() else toAsk
    }

    fun onAnswer(
        from: InstanceId,
        isSufficient: Boolean,
    ) {
        pending -= from
        hasAnswer = hasAnswer || isSufficient
    }

    /** A single failure may be a lost message, so a peer counts as failed only after [MAX_TRIES]. */
    fun onFailure(from: InstanceId) {
        if (from !in pending) return
        val count = failures.merge(from, 1, Int::plus) ?: 1
        if (count < MAX_TRIES) toRepeat += from else pending -= from
    }

    /** Returns true once, when the instance becomes ready. */
    fun check(nowMs: Long): Boolean {
        val started = startedMs ?: return false
        if (isReady || !hasAnswer || (pending.isNotEmpty() && nowMs - started < READINESS_WAIT_MS)) return false
        isReady = true
        return true
    }

    private companion object {
        const val MAX_TRIES = 3
    }
}
