package samphirechute.serving.relay

import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.net.ClientRequest
import samphirechute.net.HeaderField
import samphirechute.net.ResponseHead
import samphirechute.net.ServerRequest
import samphirechute.routing.limit.LimitStatement

/**
 * Translates between the relay and HTTP messages: what it reads from requests and answers, and what it writes to them.
 * Adapters implement it and define the names on the wire.
 */
interface RelayProtocol {
    /** Reads what the caller states in its request; what is missing or invalid is null, empty or 0. */
    fun read(request: ServerRequest): CallerRequest

    /** Returns the header fields of the request to an upstream. */
    fun upstreamHeaders(
        request: ServerRequest,
        dispatch: Dispatch,
    ): List<HeaderField>

    /** Reads what an upstream states in the head of its answer. */
    fun readAnswer(head: ResponseHead): UpstreamAnswer

    /** Builds a request that reserves memory of an engine for [holdMs] from now, or extends a reservation. */
    fun reserve(
        address: HostPort,
        reservation: Reservation,
        holdMs: Long,
    ): ClientRequest

    /** Builds a request that ends a reservation. */
    fun release(
        address: HostPort,
        reservation: Reservation,
    ): ClientRequest
}

/** Memory that is reserved on one engine for one request. */
data class Reservation(
    val id: String,
    val tokens: Long,
)

/** An engine that prefills a part of the prompt, with the memory that it reserves for it. */
data class Helper(
    val address: HostPort,
    val reservation: Reservation? = null,
)

/** What a caller states in its request. */
class CallerRequest(
    val id: RequestId?,
    val host: String,
    val key: String?,
    val deadlineMs: Long?,
    val promptTokens: Long,
    val answerTokens: Long,
    /** The last event that the caller has received, if it resumes a stream. */
    val lastEventId: Long?,
    /** The parts of the prompt that other requests may share, in order; the last part of a prompt is not among them. */
    val sharedParts: Set<RequestTrait> = emptySet(),
)

/** What the relay adds to a request when it sends it to an upstream. */
class Dispatch(
    val upstream: UpstreamId,
    val helpers: List<Helper>,
    val deadlineMs: Long,
    val team: TeamName?,
    val lastEventId: Long?,
)

/** What an upstream states in the head of its answer. */
class UpstreamAnswer(
    val requestId: RequestId?,
    val isSigned: Boolean,
    /** The upstream states that it has not run the request and will not. */
    val isNotRun: Boolean,
    /** Another upstream has the address now. */
    val isMisdirected: Boolean,
    /** The helper because of which the upstream refused the request, if it names one. */
    val failedHelper: UpstreamId?,
    /** The body has a content encoding, so it is not the bytes that the upstream produced. */
    val isEncoded: Boolean,
    /** The upstream states that it is about to leave. */
    val isLeaving: Boolean = false,
    /** For how long the upstream asks this instance to send no requests; null unless it turned one away. */
    val retryAfterMs: Long? = null,
    val limit: LimitStatement = LimitStatement.None,
) {
    /** False if the answer may come from something else than the upstream that the request was meant for. */
    val isOwn: Boolean get() = !isMisdirected && (isSigned || isNotRun)
}
