package samphirechute.net

import io.netty.buffer.ByteBuf

/**
 * Receives the events of one call of [HttpClient]. Exactly one of [onEnd] and [onFailure] is called, as the last event;
 * neither is called after [ClientCall.cancel].
 */
interface ResponseListener {
    /** Called before the first byte is written; from now on the peer may have received part of the request. */
    fun onSending() = Unit

    fun onHead(
        status: Int,
        headers: Map<String, String>,
    ) = Unit

    /** Receives the head with all its fields in order, for responses that are relayed; calls [onHead] by default. */
    fun onResponseHead(head: ResponseHead) =
        onHead(head.status, head.fields.associate { it.name.lowercase() to it.value })

    /** Receives a piece of the body; the buffer is valid only until this function returns. */
    fun onBody(piece: ByteBuf) = Unit

    fun onEnd() = Unit

    fun onFailure(failure: ClientFailure) = Unit
}

/** A call in progress. */
interface ClientCall {
    /** Ends the call and closes its connection. */
    fun cancel()

    /** What is known of the connection of the call; null before it has one. */
    val connection: ConnectionUse? get() = null

    /** Pauses or resumes reading the response, so that a slow reader downstream slows the sender down. */
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

    /** The connection closed before the response was complete. */
    data class Closed(
        val detail: String,
    ) : ClientFailure("connection closed before the response was complete: $detail")

    /** The response is not valid HTTP or exceeds a size limit. */
    data class Malformed(
        val detail: String,
    ) : ClientFailure("invalid response: $detail")

    /** The response was not complete within the time limit. */
    data class TimedOut(
        val limitMs: Long,
    ) : ClientFailure("no complete response within $limitMs ms")
}
