package samphirechute.core.timeline

import kotlinx.serialization.Serializable

/** A hybrid logical timestamp: wall time in milliseconds, and a counter that orders events within it. */
@Serializable
data class HybridTimestamp(
    val wallMs: Long,
    val counter: Int,
) : Comparable<HybridTimestamp> {
    override fun compareTo(other: HybridTimestamp) = compareValuesBy(this, other, { it.wallMs }, { it.counter })
}
