package samphirechute.serving.relay

/** An error that the system itself answers, instead of an upstream. */
internal sealed class Refusal(
    val status: Int,
    val code: String,
    val retryAfterMs: Long? = null,
) {
    data object NoRoute : Refusal(404, "no_route")

    data object UnknownKey : Refusal(401, "unknown_key")

    data object MissingId : Refusal(400, "missing_request_id")

    /** No configuration is known yet. */
    data object NotReady : Refusal(503, "not_ready", retryAfterMs = NOT_READY_RETRY_MS)

    /** The newest configuration, which may allow the request, is not known to be in use here. */
    data object Unconfirmed : Refusal(503, "revision_unconfirmed", retryAfterMs = UNCONFIRMED_RETRY_MS)

    /** This instance stops before the request could end. Another instance can take it at once. */
    data object Stopping : Refusal(503, "stopping", retryAfterMs = STOPPING_RETRY_MS)

    /** No upstream has run the request, and the caller may retry later. */
    class Busy(
        reason: String,
        retryAfterMs: Long,
    ) : Refusal(503, reason, retryAfterMs)

    /** An upstream may have run the request, but its answer is lost. */
    class Lost(
        reason: String,
    ) : Refusal(502, reason)

    /** The deadline has passed, and an upstream may be running the request. */
    data object TimedOut : Refusal(504, "timed_out")

    /** The deadline has passed, and no upstream has run the request. */
    data object TimedOutUnsent : Refusal(503, "timed_out", retryAfterMs = UNSENT_RETRY_MS)

    /** The refusal to send in place of this one if an upstream may have run the request; it promises nothing. */
    fun withoutPromise(): Refusal =
        when (this) {
            is Busy, NotReady, Unconfirmed -> Lost(code)
            Stopping -> Lost("stopped")
            TimedOutUnsent -> TimedOut
            is Lost, TimedOut, NoRoute, UnknownKey, MissingId -> this
        }

    private companion object {
        /** By then, this or another instance is likely to have the configuration. */
        const val NOT_READY_RETRY_MS = 1_000L

        /** About the time of an election. */
        const val UNCONFIRMED_RETRY_MS = 500L
        const val STOPPING_RETRY_MS = 100L
        const val UNSENT_RETRY_MS = 500L
    }
}
