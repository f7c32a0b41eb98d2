package samphirechute.daemon.caller

/** The format in which the answer to a request is returned. */
internal sealed class AnswerFormat {
    /** A completion in JSON, whole or as a stream of server-sent events. */
    data class Completion(
        val isChat: Boolean,
        val isStream: Boolean,
        val model: String,
    ) : AnswerFormat()

    /** The answer of an application, passed through unchanged. */
    data object PassThrough : AnswerFormat()
}
