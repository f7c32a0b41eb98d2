package samphirechute.routing.quarantine

import samphirechute.core.InstanceId
import samphirechute.core.RequestTrait

/**
 * What is believed about requests that have all of [traits]: that they crash upstreams, or that they no longer do. Times
 * are those of the clock of the instance that holds it.
 */
data class Quarantine(
    val traits: Set<RequestTrait>,
    val state: QuarantineState,
    /** Grows each time that the same traits are put in quarantine or released. */
    val round: Int,
    /** The ends of upstreams from which it was decided; empty if it is known from the replicated log. */
    val crashes: List<Crash>,
    val decidedBy: InstanceId,
    val decidedMs: Long,
    /** The requests that were sent since then to see whether the quarantine is right. */
    val probes: Int = 0,
) {
    /** The whole request that this is about; null if it is about parts. */
    val whole: RequestTrait? get() = traits.firstOrNull { it.isWholeRequest }

    val isActive: Boolean get() = state == QuarantineState.ACTIVE

    fun covers(request: Set<RequestTrait>) = isActive && request.containsAll(traits)

    /** Returns whether this replaces [other], which is about the same traits. */
    fun isNewerThan(other: Quarantine) = isNewerThan(other.round, other.probes)

    fun isNewerThan(
        round: Int,
        probes: Int,
    ) = this.round > round || (this.round == round && this.probes > probes)
}

enum class QuarantineState { ACTIVE, LIFTED }

/** Why a quarantine changed. */
enum class QuarantineReason {
    /** Upstreams ended one after the other under the same traits. */
    CRASHES,

    /** An answer was written on the traits. */
    ANSWERED,

    /** Fewer traits explain the same. */
    NARROWED,

    /** Parts of other requests are to blame for all ends that a whole request was on. */
    EXPLAINED,

    /** Another instance told of it. */
    LEARNED,

    /** A request was sent to see whether it is right. */
    PROBED,
}

data class QuarantineChange(
    val quarantine: Quarantine,
    val reason: QuarantineReason,
    /** The answer from which it follows; null if it does not follow from one. */
    val evidence: RunEvidence? = null,
)
