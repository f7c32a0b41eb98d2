package samphirechute.routing.flow

/** The part of the answer that was delivered, and the check of what may follow it. */
internal class AnswerAssembly(
    private val requestId: String,
) {
    /** The offset of the first token that was not delivered yet. */
    var nextOffset = 0L
        private set

    /**
     * Gives the tokens that continue the answer; none when all were delivered before. Null when the piece belongs to
     * another request or leaves a gap, so that nothing that follows it can be used.
     */
    fun accept(piece: FlowInput.TokensArrived): List<String>? {
        if (piece.requestId != requestId || piece.offset > nextOffset) return null
        val repeated = (nextOffset - piece.offset).coerceAtMost(piece.texts.size.toLong()).toInt()
        val fresh = piece.texts.drop(repeated)
        nextOffset += fresh.size
        return fresh
    }

    /** True when the answer that ended is the one delivered, without a missing end. */
    fun isComplete(end: FlowInput.AnswerEnded) = end.requestId == requestId && end.totalTokens == nextOffset
}
