package samphirechute.daemon.caller

import samphirechute.daemon.http.RequestError

/** Writes the answer of one request to its caller. */
internal interface AnswerWriter {
    /** False while the caller reads more slowly than the answer arrives. */
    val isWritable: Boolean
    var onWritable: () -> Unit

    /** The head of the answer of an application. */
    fun head(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ) = Unit

    fun deliver(
        offset: Long,
        texts: List<String>,
    )

    /** The answer is whole. */
    fun complete()

    fun fail(error: RequestError)
}
