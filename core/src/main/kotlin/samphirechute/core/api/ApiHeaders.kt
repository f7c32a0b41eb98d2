package samphirechute.core.api

/** Names of the HTTP headers in requests from callers. */
object ApiHeaders {
    /** The request identifier; a retry of the request sends the same one. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** The time in milliseconds after which the caller no longer needs the response. */
    const val DEADLINE_MS = "X-Deadline-Ms"
    const val SERVICE = "X-Service"
    const val TEAM = "X-Team"
}
