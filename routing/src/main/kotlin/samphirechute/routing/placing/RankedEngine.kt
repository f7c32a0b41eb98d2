package samphirechute.routing.placing

import java.util.PriorityQueue

/**
 * The values by which [EngineSelector] compares an engine, computed once: hundreds of engines are compared for each
 * number of parts into which a long prompt may be split.
 */
internal class RankedEngine(
    val load: UpstreamLoad,
    /** Position among the candidates, which breaks ties. */
    val index: Int,
    /** Predicted time to the first event, without the prefill of the prompt. */
    val baseMs: Double,
    val isSameDomain: Boolean,
) {
    val strictDecoders = load.strictDecoders
    val running = load.running

    /** Harm to the requests on this engine, for the part length being evaluated. */
    var harm = 0.0
}

/** Returns the [count] smallest elements in order, without sorting the rest. */
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
