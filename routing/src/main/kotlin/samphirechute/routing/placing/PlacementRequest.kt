package samphirechute.routing.placing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId

/** Asks a placer for an upstream, from an entry instance to the coordinator. Durations count from when it was sent. */
@Serializable
data class PlacementRequest(
    val request: RequestId,
    val instance: InstanceId,
    val failureDomain: FailureDomain,
    val service: ServiceName,
    val team: TeamName? = null,
    /** 0 is the most urgent. */
    val priority: Int = DEFAULT_PRIORITY,
    /** 0 if the service is a plain application. */
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
    /** Target time to the first byte; a later answer is worth less to the caller. */
    val targetMs: Long,
    /** Target for the longest gap between two events; null if the answer is not a stream. */
    val targetGapMs: Long? = null,
    val deadlineMs: Long,
    /** Upstreams that have failed this request. */
    val excluded: Set<UpstreamId> = emptySet(),
    /** How long the caller has waited: since the last event if the answer has begun, otherwise since its request. */
    val elapsedMs: Long = 0,
    /** True if the caller has received part of the answer and another upstream has to continue it. */
    val hasBegun: Boolean = false,
    /** What this request has in common with others, by which those that crash upstreams are recognized. */
    @SerialName("sharedParts")
    val traits: Set<RequestTrait> = emptySet(),
    /** True for a retry for which the instance has no part of the retry budget left. */
    val needsRetryGrant: Boolean = false,
) {
    /** Cost of a late answer to this request. It grows with the prompt, since longer prompts take more work. */
    val weight: Double get() = weightOf(promptTokens)

    /** True if the loss of this request costs callers as much as that of many others. */
    val isCostlyToLose: Boolean get() = isCostlyToLose(promptTokens, hasBegun)

    /** The wait after which the caller is expected to give up. */
    val abandonAfterMs: Long
        get() {
            val gapsMs = ABANDON_GAPS * (targetGapMs ?: 0)
            return if (hasBegun) maxOf(ABANDON_MS, gapsMs) else maxOf(ABANDON_MS, gapsMs, ABANDON_TARGETS * targetMs)
        }

    companion object {
        const val DEFAULT_PRIORITY = 5

        /**
         * Callers give up after 2 s without an event, four times the target or eight target gaps, whichever is longest.
         */
        private const val ABANDON_MS = 2_000L
        private const val ABANDON_TARGETS = 4L
        private const val ABANDON_GAPS = 8L
        private const val TOKENS_PER_WEIGHT = 10_000.0

        /** A prompt of 90,000 tokens: longer than medium prompts, and shorter than long ones. */
        private const val LARGE_WEIGHT = 10.0

        private fun weightOf(promptTokens: Long) = 1 + promptTokens / TOKENS_PER_WEIGHT

        /** Returns whether a request with a long prompt, or with an answer that has begun, would be lost. */
        fun isCostlyToLose(
            promptTokens: Long,
            hasBegun: Boolean,
        ): Boolean = hasBegun || weightOf(promptTokens) >= LARGE_WEIGHT
    }
}

/** The decision on a [PlacementRequest]. Its serial names are part of the protocol between instances. */
@Serializable
sealed class Placement {
    /** The request may be sent to [upstream] now. */
    @Serializable
    @SerialName("granted")
    data class Granted(
        val upstream: UpstreamId,
        val address: HostPort,
        /** Engines that prefill parts of the prompt in addition to [upstream]. */
        val helpers: List<PlacedHelper> = emptyList(),
        /** The predicted time to the first byte. */
        val firstByteMs: Long = 0,
        /** The limits of upstreams that were kept by this grant. */
        val limitsPerS: Map<UpstreamId, Double> = emptyMap(),
        /** True if it is to be told at once when the answer gets beyond its beginning. */
        val isWatched: Boolean = false,
        /** True if the prompt is in quarantine and is sent to see whether it still crashes an upstream. */
        val isProbe: Boolean = false,
        /** True if this counts as a retry in the coordinator's part of the budget, see [PlacementRequest.needsRetryGrant]. */
        val hasRetryGrant: Boolean = false,
    ) : Placement()

    /** The request cannot be served in time; the caller may retry after [retryAfterMs]. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: RefusedReason,
        val retryAfterMs: Long,
    ) : Placement()
}

/** An engine that prefills a part of a prompt, and how many of its tokens it has to store. */
@Serializable
data class PlacedHelper(
    val upstream: UpstreamId,
    val address: HostPort,
    /** 0 if the engine that answers stores the whole prompt. */
    val reservedTokens: Long = 0,
)

@Serializable
enum class RefusedReason {
    /** No upstream of the service is open. */
    @SerialName("no_upstream")
    NO_UPSTREAM,

    /** Every open upstream has turned the instance away for a while. */
    @SerialName("turned_away")
    TURNED_AWAY,

    /** All open upstreams take requests at a limited rate, and the next one in time is not for this request. */
    @SerialName("limited")
    LIMITED,

    /** The expected wait is longer than the caller is expected to wait. */
    @SerialName("overloaded")
    OVERLOADED,

    /** The prompt and its answer need more memory than one prompt may use. */
    @SerialName("too_large")
    TOO_LARGE,

    /** Upstreams have ended one after the other when they began to answer prompts of this kind. */
    @SerialName("quarantined")
    QUARANTINED,

    /** The request is a retry, and no retry is left for it in the budget of all instances. */
    @SerialName("retry_budget")
    RETRY_BUDGET,

    /** The request waited for as long as it could, or had no time left to wait. */
    @SerialName("expired")
    EXPIRED,
}

/** How one attempt of a granted request ended; instances report it to the coordinator. */
@Serializable
data class PlacementResult(
    val request: RequestId,
    val upstream: UpstreamId,
    val outcome: PlacementOutcome,
    /** Time from sending the request to the first byte of the answer; null if none arrived. */
    val firstByteMs: Long? = null,
    /** The failure domain that the request was sent from. */
    val from: FailureDomain? = null,
    /** Start time of the incarnation of the upstream that announced its leaving in the answer; null if none did. */
    val leavingBornMs: Long? = null,
    /** Set if the upstream turned the instance away for a while. */
    val turnedAway: TurnedAway? = null,
)

/** An upstream asked one instance to send it no requests for [forMs]. */
@Serializable
data class TurnedAway(
    val instance: InstanceId,
    val forMs: Long,
)

@Serializable
enum class PlacementOutcome {
    @SerialName("done")
    DONE,

    /** The upstream stated that it did not run the request. */
    @SerialName("refused")
    REFUSED,

    /** The answer was incomplete or invalid. */
    @SerialName("failed")
    FAILED,

    /** No connection could be established: the upstream or the network path is down. */
    @SerialName("unreachable")
    UNREACHABLE,

    /** Nothing arrived for longer than expected; the upstream may be down, or only busy. */
    @SerialName("stalled")
    STALLED,

    /** Another upstream has the address now. */
    @SerialName("gone")
    GONE,

    /** The request was cancelled: its caller left, its time was over, or the grant was not used. */
    @SerialName("cancelled")
    CANCELLED,
}
