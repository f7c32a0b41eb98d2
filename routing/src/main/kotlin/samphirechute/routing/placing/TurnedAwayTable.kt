package samphirechute.routing.placing

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId

/**
 * Records for how long each upstream has turned away each instance; [Placer] asks it before every grant.
 *
 * An upstream that is full for a while still serves other instances, but would only turn away another request of the
 * same instance.
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

    /** Returns for how much longer the upstream accepts no requests of the instance, or 0. */
    fun remainingMs(
        instance: InstanceId,
        upstream: UpstreamId,
        nowMs: Long,
    ): Long {
        if (untilMs.isEmpty()) return 0
        return ((untilMs[instance to upstream] ?: return 0) - nowMs).coerceAtLeast(0)
    }
}
