package samphirechute.daemon.caller

import samphirechute.daemon.http.RequestError

/** Writes the answer of one request to its caller. Called by [RequestRunner]. */
internal interface AnswerWriter {
    /** False while the caller reads more slowly than the answer arrives. */
    val isWritable: Boolean
    var onWritable: () -> Unit

    /** Sets the status and headers of the answer of an application; completions ignore them. */
    fun head(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ) = Unit

    /** Adds the next texts of the answer; [offset] is the number of tokens before them. */
    fun deliver(
        offset: Long,
        texts: List<String>,
    )

    /** Ends a complete answer. */
    fun complete()

    /** Ends the answer with an error, also when part of it was already written. */
    fun fail(error: RequestError)
}
