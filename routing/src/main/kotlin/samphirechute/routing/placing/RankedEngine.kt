package samphirechute.routing.placing

import java.util.PriorityQueue

/**
 * What a choice among engines needs of one of them, read once. The load that it answers is hundreds of engines that are
 * compared for each number of parts into which a long prompt may be split.
 */
internal class RankedEngine(
    val load: UpstreamLoad,
    /** The place among the candidates, which decides between engines that are alike otherwise. */
    val index: Int,
    /** The time to the first event of a request that has nothing to be read. */
    val baseMs: Double,
    val isSameDomain: Boolean,
) {
    val strictDecoders = load.strictDecoders
    val running = load.running

    /** What the part that is looked at now costs the requests on this engine. */
    var harm = 0.0
}

/** The [count] smallest elements in order, without sorting the rest. */
internal fun <T> Collection<T>.smallest(
    count: Int,
    comparator: Comparator<T>,
): List<T> {
    val kept = PriorityQueue(count + 1, comparator.reversed())
    for (element in this) {
        if (kept.size == count && comparator.compare(element, kept.peek()) >= 0) continue
        kept += element
        if (kept.size > count) kept.poll()
    }
    return kept.sortedWith(comparator)
}
