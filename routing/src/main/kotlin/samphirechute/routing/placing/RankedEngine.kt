package samphirechute.routing.placing

import java.util.PriorityQueue
import kotlin.math.roundToInt

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
    /** How much longer it takes than its profile predicts, see [EngineSpeed]. */
    val speedRatio: Double,
    /** The gap between events here before any part of the prompt is added. */
    val pauseMs: Double,
) {
    /** Speeds in coarse steps, by which engines of nearly the same speed compare as equal. */
    private val slowness = speedRatio.roundToInt()

    /** Slower engines rank higher, and among equally fast ones those with more strict decoders. */
    val slownessRank = slowness * SLOWNESS_RANK + load.strictDecoders
    val running = load.running

    /** Harm to the requests on this engine, for the part length being evaluated. */
    var harm = 0.0

    private companion object {
        /** More than the requests that one engine decodes. */
        const val SLOWNESS_RANK = 1_000
    }
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
