package samphirechute.serving.relay

import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.net.ClientRequest
import samphirechute.net.HeaderField
import samphirechute.net.ResponseHead
import samphirechute.net.ServerRequest

/** What the relay reads from a request and an answer, and writes to them. The names on the wire are the adapter's. */
interface RelayProtocol {
    /** What the request says of itself, or the problem with it. */
    fun read(request: ServerRequest): CallerRequest

    /** The header lines of the request to an upstream. */
    fun upstreamHeaders(
        request: ServerRequest,
        dispatch: Dispatch,
    ): List<HeaderField>

    fun readAnswer(head: ResponseHead): UpstreamAnswer

    /** Sets memory of an engine aside for [holdMs], or sets it aside for so long from now once more. */
    fun reserve(
        address: HostPort,
        reservation: Reservation,
        holdMs: Long,
    ): ClientRequest

    fun release(
        address: HostPort,
        reservation: Reservation,
    ): ClientRequest
}

/** Memory that is set aside on one engine for one request. */
data class Reservation(
    val id: String,
    val tokens: Long,
)

/** An engine that reads a part of the prompt, with the memory that it holds for it. */
data class Helper(
    val address: HostPort,
    val reservation: Reservation? = null,
)

class CallerRequest(
    val id: RequestId?,
    val host: String,
    val key: String?,
    val deadlineMs: Long?,
    val promptTokens: Long,
    val answerTokens: Long,
    /** The last event of a stream that the caller has, when it resumes one. */
    val lastEventId: Long?,
)

/** One sending of a request to one upstream. */
class Dispatch(
    val upstream: UpstreamId,
    val helpers: List<Helper>,
    val deadlineMs: Long,
    val team: TeamName?,
    val lastEventId: Long?,
)

/** The head of an answer, as the relay needs it. */
class UpstreamAnswer(
    val requestId: RequestId?,
    val isSigned: Boolean,
    /** The upstream says that it has not run the request and will not. */
    val isNotRun: Boolean,
    /** The address belongs to another upstream. */
    val isMisdirected: Boolean,
    /** Another upstream that this one needed and could not use. */
    val atFault: UpstreamId?,
    /** The body is not the upstream's own bytes. */
    val isEncoded: Boolean,
    /** The upstream says that it is about to leave. */
    val isLeaving: Boolean = false,
    /** How long the upstream wants no requests of this instance; set only when it turned one away. */
    val retryAfterMs: Long? = null,
)
