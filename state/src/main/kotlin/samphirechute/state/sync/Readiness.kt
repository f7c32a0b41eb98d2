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
    private var startedMs: Long? = null
    private var nextAskMs = Long.MIN_VALUE
    private var hasAnswer = false

    var isReady = false
        private set

    /** Whom to ask now. */
    fun dueAsks(nowMs: Long): Set<InstanceId> {
        if (isReady || nowMs < nextAskMs) return emptySet()
        if (startedMs == null) startedMs = nowMs
        nextAskMs = nowMs + RANDOM_PERIOD_MS
        // After the first round, those that have answered are asked again only when no answer counted.
        return if (hasAnswer) pending.toSet() else toAsk
    }

    fun onAnswer(
        from: InstanceId,
        isSufficient: Boolean,
    ) {
        pending -= from
        hasAnswer = hasAnswer || isSufficient
    }

    fun onFailure(from: InstanceId) {
        pending -= from
    }

    /** Returns true once, when the instance becomes ready. */
    fun check(nowMs: Long): Boolean {
        val started = startedMs ?: return false
        if (isReady || !hasAnswer || (pending.isNotEmpty() && nowMs - started < READINESS_WAIT_MS)) return false
        isReady = true
        return true
    }
}
