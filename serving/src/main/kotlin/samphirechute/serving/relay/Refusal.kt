package samphirechute.serving.relay

/** Why the system itself answers a request with an error. Those with [isNotRun] promise that it has not run and will not. */
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

    class Busy(
        reason: String,
        retryAfterMs: Long,
    ) : Refusal(503, reason, retryAfterMs)

    /** An upstream may have run the request, and its answer is lost. */
    class Lost(
        reason: String,
    ) : Refusal(502, reason)

    /** The time is over, and an upstream may be at work. */
    data object TimedOut : Refusal(504, "timed_out")

    private companion object {
        /** Another instance may know the configuration by then. */
        const val NOT_READY_RETRY_MS = 1_000L
    }
}
