package samphirechute.routing.limit

/** What an answer of an upstream says about the rate of requests that the upstream takes from all instances together. */
sealed class LimitStatement {
    /** The answer names no limit. */
    data object None : LimitStatement()

    data class Named(
        val requestsPerS: Double,
    ) : LimitStatement()

    /** The answer names a limit that is no decimal number. */
    data class Unreadable(
        val text: String,
    ) : LimitStatement()
}
