package samphirechute.core.api

/** Headers of requests from callers. */
object ApiHeaders {
    /** The request identifier; a resend carries the same one. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** The time in milliseconds after which the answer is of no use to the caller. */
    const val DEADLINE_MS = "X-Deadline-Ms"
    const val SERVICE = "X-Service"
    const val TEAM = "X-Team"
}
