package samphirechute.state.raft

import samphirechute.core.InstanceId
import samphirechute.state.command.StoreMember

/**
 * The requests to join that a leader has received, one of each instance. A machine that waits to join repeats its
 * request, so one that is not repeated for [lifetimeMs] is of a machine that has gone, or of a disk that was lost.
 */
internal class JoinRequests(
    private val lifetimeMs: Long,
) {
    private val requests = LinkedHashMap<InstanceId, Request>()

    /** Records a request. One of the same instance with another disk is replaced and keeps its place. */
    fun record(
        joining: StoreMember,
        nowMs: Long,
    ) {
        requests[joining.instance] = Request(joining, nowMs)
    }

    fun remove(instance: InstanceId) {
        requests -= instance
    }

    /** Puts the request of [instance] behind the others, which must not wait for a member that cannot be added. */
    fun moveToEnd(instance: InstanceId) {
        requests.remove(instance)?.let { requests[instance] = it }
    }

    /** The requests that count at [nowMs], in the order in which to add their members. */
    fun current(nowMs: Long): List<StoreMember> {
        requests.values.removeIf { nowMs - it.receivedMs > lifetimeMs }
        return requests.values.map { it.joining }
    }

    private class Request(
        val joining: StoreMember,
        val receivedMs: Long,
    )
}
