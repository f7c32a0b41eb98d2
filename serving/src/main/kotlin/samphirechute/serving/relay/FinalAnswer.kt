package samphirechute.serving.relay

/** What the caller of a request gets in the end, before it is checked for a promise that may not be true. */
internal sealed class FinalAnswer(
    val status: Int,
) {
    /** The complete answer of an upstream, which is passed on unchanged. */
    class OfUpstream(
        val result: AttemptResult.Answered,
    ) : FinalAnswer(result.head.status)

    /** An error of the system itself. */
    class Own(
        val refusal: Refusal,
    ) : FinalAnswer(refusal.status)

    /** True if callers take the status for a promise that the request has not run and never will. */
    val promisesNotRun: Boolean get() = status in PROMISES

    /**
     * Returns the answer to send for a request that [mayHaveRun]. An error of the system never promises that it has not. An
     * answer of an upstream may: an upstream can fail a request after it has run it, with any status. It is passed on
     * to the caller of a repeatable request, which may run again, and replaced for any other.
     */
    fun truthful(
        mayHaveRun: Boolean,
        isRepeatable: Boolean,
    ): FinalAnswer =
        when {
            !mayHaveRun || !promisesNotRun -> this
            this is Own -> Own(refusal.withoutPromise())
            isRepeatable -> this
            else -> Own(Refusal.Lost("answered_$status"))
        }

    private companion object {
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
