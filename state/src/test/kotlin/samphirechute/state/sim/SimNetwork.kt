package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import kotlin.random.Random

/** Delivers messages between simulated processes with loss, delay, duplication, reordering and one-way cuts. */
class SimNetwork(
    private val timer: VirtualTimer,
    private val random: Random,
) {
    var lossRate = 0.0
    var duplicationRate = 0.0
    var delayMs = 1L..2L
    private val cuts = mutableSetOf<Pair<InstanceId, InstanceId>>()

    fun cut(
        from: InstanceId,
        to: InstanceId,
    ) {
        cuts += from to to
    }

    /** Cuts the links between the two groups in both directions. */
    fun cutBoth(
        one: Collection<InstanceId>,
        other: Collection<InstanceId>,
    ) = one.forEach { a -> (other - a).forEach { b -> cuts += listOf(a to b, b to a) } }

    /** Restores the links within a group. */
    fun healLinks(among: Collection<InstanceId>) {
        cuts.removeAll { it.first in among && it.second in among }
    }

    fun heal() {
        cuts.clear()
        lossRate = 0.0
        duplicationRate = 0.0
        delayMs = 1L..2L
    }

    fun isCut(
        from: InstanceId,
        to: InstanceId,
    ) = (from to to) in cuts

    fun send(
        from: InstanceId,
        to: InstanceId,
        deliver: () -> Unit,
    ) {
        val copies = if (random.nextDouble() < duplicationRate) 2 else 1
        repeat(copies) {
            if (random.nextDouble() < lossRate) return@repeat
            timer.after(random.nextLong(delayMs.first, delayMs.last + 1)) { if (!isCut(from, to)) deliver() }
        }
    }
}
