package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId

/**
 * Which instances an upstream has turned away, and for how long. The load that it answers is an upstream that is full for a
 * while: it serves others, but another request of the same instance would only be turned away again.
 */
internal class TurnedAwayTable {
    private val untilMs = HashMap<Pair<InstanceId, UpstreamId>, Long>()

    fun record(
        upstream: UpstreamId,
        notice: TurnedAway,
        nowMs: Long,
    ) {
        untilMs.values.removeIf { it <= nowMs }
        untilMs[notice.instance to upstream] = nowMs + notice.forMs
    }

    /** How much longer the upstream wants nothing of the instance; 0 when it takes its requests. */
    fun remainingMs(
        instance: InstanceId,
        upstream: UpstreamId,
        nowMs: Long,
    ): Long {
        if (untilMs.isEmpty()) return 0
        return ((untilMs[instance to upstream] ?: return 0) - nowMs).coerceAtLeast(0)
    }
}
