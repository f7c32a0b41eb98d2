package samphirechute.net

import io.netty.buffer.ByteBuf

/** Follows one call. Exactly one of [onEnd] and [onFailure] is called, last; neither after [ClientCall.cancel]. */
interface ResponseListener {
    /** From now on the peer may have received some of the request. */
    fun onSending() = Unit

    fun onHead(
        status: Int,
        headers: Map<String, String>,
    ) = Unit

    /** The head with all its lines, for answers that are passed on. */
    fun onResponseHead(head: ResponseHead) =
        onHead(head.status, head.fields.associate { it.name.lowercase() to it.value })

    /** A piece of the body; the buffer is valid during the call only. */
    fun onBody(piece: ByteBuf) = Unit

    fun onEnd() = Unit

    fun onFailure(failure: ClientFailure) = Unit
}

/** A call under way. */
interface ClientCall {
    /** Ends the call and closes its connection. */
    fun cancel()

    /** Stops or resumes reading the answer, to pass on the pace of a slow reader. */
    fun setReading(isReading: Boolean)
}

/** Why a call failed. */
sealed class ClientFailure(
    val message: String,
) {
    /** No connection could be opened, so nothing was sent. */
    data class ConnectFailed(
        val detail: String,
    ) : ClientFailure("could not connect: $detail")

    /** The connection closed before the end of the answer. */
    data class Closed(
        val detail: String,
    ) : ClientFailure("connection closed before the end of the answer: $detail")

    /** The answer is not valid HTTP. */
    data class Malformed(
        val detail: String,
    ) : ClientFailure("answer is not valid HTTP: $detail")

    data class TimedOut(
        val limitMs: Long,
    ) : ClientFailure("no complete answer within $limitMs ms")
}
