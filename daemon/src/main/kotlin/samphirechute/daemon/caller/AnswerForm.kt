package samphirechute.daemon.caller

/** How a caller asked for its answer. */
internal sealed class AnswerForm {
    data class Completion(
        val isChat: Boolean,
        val isStream: Boolean,
        val model: String,
    ) : AnswerForm()

    /** The answer of an application is passed through as it is. */
    data object PassThrough : AnswerForm()
}
