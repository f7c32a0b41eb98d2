package samphirechute.net

/**
 * One request and its answer. Exactly one of [respond] and [startStream] is called, once; a second call, or one
 * after the client has gone, has no effect.
 */
interface Exchange {
    val request: ServerRequest

    /** Called once when the client goes before the answer is complete. */
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
     * Starts an answer that is passed on: [fields] are sent as they are. A body of unknown length, when [lengthBytes] is
     * null, is sent in chunks, so that the client can tell a cut answer from a complete one.
     */
    fun startRelay(
        status: Int,
        fields: List<HeaderField>,
        lengthBytes: Long?,
    ): ResponseStream

    /** Drops the request body once it is no longer needed, which frees its share of the body budget. */
    fun releaseBody()
}

/** The body of an answer that is sent piece by piece. */
interface ResponseStream {
    /** False while the client reads more slowly than pieces are written; [onWritable] tells when it is true again. */
    val isWritable: Boolean
    var onWritable: () -> Unit

    fun write(bytes: ByteArray)

    fun finish()

    /** Closes the connection without an end mark, so that the client sees that the answer is cut. */
    fun abort()
}
