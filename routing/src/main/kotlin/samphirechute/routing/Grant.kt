package samphirechute.routing

import kotlinx.serialization.Serializable
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId

/** Permission for one attempt of one request to use its parts, while its holder renews it. */
@Serializable
data class Grant(
    val key: GrantKey,
    val epoch: Long,
    val parts: List<GrantPart>,
    val cachedTokens: Long = 0,
    val expectedFirstTokenMs: Long = 0,
    val expectedTokenMs: Double = 0.0,
    /** The place among the work of its upstream: lower numbers go first. Long prompts go after all short ones. */
    val priority: Int = 0,
) {
    /** The upstream that answers; the other parts of a gang lend it memory. */
    val primary: GrantPart get() = parts.first()
}

/** Room on one upstream. It is void when the upstream has another generation. */
@Serializable
data class GrantPart(
    val upstream: UpstreamId,
    val generation: Long,
    val address: HostPort,
    val memoryTokens: Long,
    val prefillTokens: Long,
)

/** How a grant ended, as its holder saw it. */
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

    /** The upstream closed the connection, or answered garbage. */
    FAILED,

    /** The upstream showed nothing for longer than expected. */
    SILENT,

    /** The holder sent nothing to the upstream. */
    UNUSED,
}

/** Why a request was refused before any of it was sent. */
@Serializable
enum class RefusalReason {
    /** It would not have finished, or given its first token, in time. */
    TOO_LATE,

    /** The queue of its pool holds as much as it may. */
    QUEUE_FULL,

    /** No upstream of the failure domain serves the pool. */
    NO_UPSTREAM,

    /** The prompt is larger than the upstreams of the failure domain can hold together. */
    TOO_LARGE,

    /** The failure domain, or every upstream of the pool in it, is drained or leaving. */
    DRAINED,

    /** The instance asked is not the coordinator, or its lease has ended. */
    NOT_COORDINATOR,
}
