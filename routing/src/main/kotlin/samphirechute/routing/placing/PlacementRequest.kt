package samphirechute.routing.placing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId

/** A request that needs an upstream. Durations count from the moment at which it was sent. */
@Serializable
data class PlacementRequest(
    val request: RequestId,
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val service: ServiceName,
    val team: TeamName? = null,
    /** 0 is the most urgent. */
    val priority: Int = DEFAULT_PRIORITY,
    /** 0 for plain applications. */
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
    /** The time to the first byte within which the answer is of full use. */
    val targetMs: Long,
    /** The longest useful pause between events; null for answers that are no stream. */
    val targetGapMs: Long? = null,
    val deadlineMs: Long,
    /** Upstreams that have failed this request. */
    val excluded: Set<UpstreamId> = emptySet(),
    /** How long the caller has waited so far: since the last event when the answer has begun, else since the request. */
    val elapsedMs: Long = 0,
    /** True when the caller has a part of the answer, which another upstream is to carry on. */
    val hasBegun: Boolean = false,
) {
    /** What is lost when this request is late; longer prompts ask for more work and are worth more. */
    val weight: Double get() = 1 + promptTokens / TOKENS_PER_WEIGHT

    /** Callers leave when they have waited for so long. */
    val leaveMs: Long
        get() {
            val forGapMs = LEAVE_GAPS * (targetGapMs ?: 0)
            return if (hasBegun) maxOf(LEAVE_MS, forGapMs) else maxOf(LEAVE_MS, forGapMs, LEAVE_TARGETS * targetMs)
        }

    companion object {
        const val DEFAULT_PRIORITY = 5

        /** Callers leave after 2 s without an event, four targets or eight pauses, whichever is longest. */
        private const val LEAVE_MS = 2_000L
        private const val LEAVE_TARGETS = 4L
        private const val LEAVE_GAPS = 8L
        private const val TOKENS_PER_WEIGHT = 10_000.0
    }
}

/** Where a request goes, or why it goes nowhere. */
@Serializable
sealed class Placement {
    @Serializable
    @SerialName("granted")
    data class Granted(
        val upstream: UpstreamId,
        val address: HostPort,
        /** Engines that read parts of the prompt besides [upstream]. */
        val helpers: List<PlacedHelper> = emptyList(),
        /** The predicted time to the first byte. */
        val firstByteMs: Long = 0,
    ) : Placement()

    /** The request cannot be served in time; it may come back after [retryAfterMs]. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: RefusedReason,
        val retryAfterMs: Long,
    ) : Placement()
}

/** An engine that reads a part of a prompt, and how much of the prompt it has to hold. */
@Serializable
data class PlacedHelper(
    val upstream: UpstreamId,
    val address: HostPort,
    /** 0 when the first engine holds the whole prompt. */
    val reservedTokens: Long = 0,
)

@Serializable
enum class RefusedReason {
    /** No upstream of the service is open. */
    @SerialName("no_upstream")
    NO_UPSTREAM,

    /** All open upstreams want no requests of the instance for a while. */
    @SerialName("turned_away")
    TURNED_AWAY,

    /** All upstreams are busy for longer than the request can wait. */
    @SerialName("overloaded")
    OVERLOADED,

    /** The prompt needs more memory than any upstream has. */
    @SerialName("too_large")
    TOO_LARGE,

    /** The request waited and its time is over. */
    @SerialName("expired")
    EXPIRED,
}

/** How a placed request ended. */
@Serializable
data class PlacementResult(
    val request: RequestId,
    val upstream: UpstreamId,
    val outcome: PlacementOutcome,
    /** From dispatch to the first byte; null when none came. */
    val firstByteMs: Long? = null,
    /** The failure domain that the request was sent from. */
    val from: FailureDomain? = null,
    /** The start of the upstream's life in which it said that it leaves; null when it did not. */
    val leavingBornMs: Long? = null,
    val turnedAway: TurnedAway? = null,
)

/** An upstream wants no requests of one instance for [forMs]. */
@Serializable
data class TurnedAway(
    val instance: InstanceId,
    val forMs: Long,
)

@Serializable
enum class PlacementOutcome {
    @SerialName("done")
    DONE,

    /** The upstream says that it did not run the request. */
    @SerialName("refused")
    REFUSED,

    /** A broken or wrong answer. */
    @SerialName("failed")
    FAILED,

    /** No connection; the upstream or the way to it is gone. */
    @SerialName("unreachable")
    UNREACHABLE,

    /** Silence for longer than expected; the upstream may be gone, or only busy. */
    @SerialName("stalled")
    STALLED,

    /** The upstream at the address is another one. */
    @SerialName("gone")
    GONE,

    /** The client left. */
    @SerialName("cancelled")
    CANCELLED,
}
