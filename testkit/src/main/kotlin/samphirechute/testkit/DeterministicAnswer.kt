package samphirechute.testkit

import samphirechute.core.RequestId

/** The answer of stand-in engines: a word for each offset that follows from the request id. */
object DeterministicAnswer {
    private const val MULTIPLIER = 31

    fun token(
        requestId: RequestId,
        offset: Long,
    ): String = "w${Math.floorMod(requestId.value.hashCode() * MULTIPLIER + offset.toInt(), WORDS)} "

    /** The whole answer of [totalTokens] tokens. */
    fun text(
        requestId: RequestId,
        totalTokens: Long,
    ): String = (0 until totalTokens).joinToString("") { token(requestId, it) }

    private const val WORDS = 997
}
