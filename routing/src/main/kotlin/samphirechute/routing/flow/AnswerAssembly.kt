package samphirechute.routing.flow

/**
 * Assembles the answer of one request from the pieces of its attempts. It tracks how much was delivered, drops repeated
 * tokens, and detects pieces that do not continue the answer. Used by [RequestFlow].
 */
internal class AnswerAssembly(
    private val requestId: String,
) {
    /** The offset of the first token that has not been delivered. */
    var nextOffset = 0L
        private set

    /**
     * Returns the tokens of [piece] that continue the answer; empty when all of them were delivered before. Returns
     * null when the piece belongs to another request or leaves a gap, so that the rest of the attempt cannot be used.
     */
    fun accept(piece: FlowInput.TokensArrived): List<String>? {
        if (piece.requestId != requestId || piece.offset > nextOffset) return null
        val repeated = (nextOffset - piece.offset).coerceAtMost(piece.texts.size.toLong()).toInt()
        val fresh = piece.texts.drop(repeated)
        nextOffset += fresh.size
        return fresh
    }

    /** True when [end] belongs to this request and every token before it was delivered. */
    fun isComplete(end: FlowInput.AnswerEnded) = end.requestId == requestId && end.totalTokens == nextOffset
}
