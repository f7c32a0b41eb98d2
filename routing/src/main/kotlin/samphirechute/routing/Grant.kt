package samphirechute.routing

import kotlinx.serialization.Serializable
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId

/**
 * Permission for one attempt of one request to use room on one or more upstreams. A coordinator issues it to an
 * instance, the holder; it is valid as long as the holder renews it.
 */
@Serializable
data class Grant(
    val key: GrantKey,
    val epoch: Long,
    val parts: List<GrantPart>,
    val cachedTokens: Long = 0,
    val expectedFirstTokenMs: Long = 0,
    val expectedTokenMs: Double = 0.0,
    /** Order among the work of the upstream: lower numbers run first. Long prompts run after all short ones. */
    val priority: Int = 0,
) {
    /** The upstream that generates the answer. The other parts of a gang only provide memory. */
    val primary: GrantPart get() = parts.first()
}

/** The room that a grant has on one upstream. It is invalid once the upstream reports another generation. */
@Serializable
data class GrantPart(
    val upstream: UpstreamId,
    val generation: Long,
    val address: HostPort,
    val memoryTokens: Long,
    val prefillTokens: Long,
)

/** How a grant ended and the latencies its holder measured; coordinators learn from it. */
@Serializable
data class GrantResult(
    val ending: GrantEnding,
    val firstTokenMs: Long? = null,
    val tokenMs: Double? = null,
    val generatedTokens: Long = 0,
    val cachedTokens: Long = 0,
)

@Serializable
enum class GrantEnding {
    COMPLETED,
    CANCELLED,

    /** The upstream refused the request before running it. */
    REFUSED,

    /** The upstream closed the connection or sent an invalid answer. */
    FAILED,

    /** The upstream sent nothing for longer than the silence limit. */
    SILENT,

    /** The holder sent nothing to the upstream. */
    UNUSED,
}

/** Why a coordinator refused a request. Nothing of the request has been sent to an upstream then. */
@Serializable
enum class RefusalReason {
    /** The request would miss its deadline, or the deadline of its first token. */
    TOO_LATE,

    /** The queue of the pool is full. */
    QUEUE_FULL,

    /** No upstream of the failure domain serves the pool. */
    NO_UPSTREAM,

    /** The prompt needs more memory than all upstreams of the failure domain have together. */
    TOO_LARGE,

    /** The failure domain, or every upstream of the pool in it, is drained or leaving. */
    DRAINED,

    /** The instance that was asked is not the coordinator, or its lease has ended. */
    NOT_COORDINATOR,
}
