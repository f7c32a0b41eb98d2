package samphirechute.net

/**
 * One request that [HttpServer] received and the response to it. The handler calls exactly one of [respond],
 * [startStream] and [startRelay], once; a second call, or one after the client has disconnected, has no effect.
 */
interface Exchange {
    val request: ServerRequest

    /** Called once when the client disconnects before the response is complete. */
    var onAborted: () -> Unit

    fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String> = emptyMap(),
    )

    fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ): ResponseStream

    /**
     * Starts a relayed response: [fields] are sent unchanged. A body of unknown length ([lengthBytes] is null) is sent
     * in chunks, so that the client can tell a truncated response from a complete one.
     */
    fun startRelay(
        status: Int,
        fields: List<HeaderField>,
        lengthBytes: Long?,
    ): ResponseStream

    /** Discards the request body once it is no longer needed, which frees its share of the [BodyBudget]. */
    fun releaseBody()
}

/** The body of a response that is sent piece by piece. */
interface ResponseStream {
    /** False while the client reads more slowly than data is written. [onWritable] is called when it is true again. */
    val isWritable: Boolean
    var onWritable: () -> Unit

    fun write(bytes: ByteArray)

    fun finish()

    /** Closes the connection without completing the body, so that the client sees that the response is truncated. */
    fun abort()
}
