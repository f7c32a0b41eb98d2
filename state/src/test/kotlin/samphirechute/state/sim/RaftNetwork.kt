package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.raft.RaftMessage
import kotlin.random.Random

/** Delivers messages after a random delay, and loses or duplicates them with the configured probability. */
internal class RaftNetwork(
    private val timer: VirtualTimer,
    private val random: Random,
    private val deliver: (InstanceId, RaftMessage) -> Unit,
) {
    private val cuts = mutableSetOf<Pair<InstanceId, InstanceId>>()
    var lossPercent = 0
    var duplicatePercent = 0
    var minDelayMs = 1L
    var maxDelayMs = 3L

    fun send(
        from: InstanceId,
        to: InstanceId,
        message: RaftMessage,
    ) = transmit(from, to) { deliver(to, message) }

    /** Calls [onArrival] as often as a message from [from] reaches [to]. */
    fun transmit(
        from: InstanceId,
        to: InstanceId,
        onArrival: () -> Unit,
    ) {
        if (from to to in cuts || random.nextInt(PERCENT) < lossPercent) return
        val copies = if (random.nextInt(PERCENT) < duplicatePercent) 2 else 1
        repeat(copies) {
            timer.after(minDelayMs + random.nextLong(maxDelayMs)) { if (from to to !in cuts) onArrival() }
        }
    }

    /** Cuts the link in one direction. Messages on their way are lost too. */
    fun cut(
        from: InstanceId,
        to: InstanceId,
    ) {
        cuts += from to to
    }

    /** Cuts the links between [node] and all [others] in both directions. */
    fun isolate(
        node: InstanceId,
        others: Collection<InstanceId>,
    ) = (others - node).forEach { cuts += listOf(node to it, it to node) }

    fun heal() {
        cuts.clear()
        lossPercent = 0
        duplicatePercent = 0
        minDelayMs = 1
        maxDelayMs = 3
    }

    private companion object {
        const val PERCENT = 100
    }
}
