package samphirechute.state.store

/** Bounds on the replicated state. Every member must run with the same values, because they decide results. */
data class StoreLimits(
    /** A claim whose deadline lies further ahead is refused, so that no claim outlives its retention. */
    val maxClaimDeadlineMs: Long = DAY_MS,
    val claimRetentionMs: Long = DAY_MS,
    val claimGraceMs: Long = 5_000,
    val maxClaims: Int = 200_000,
    val maxAnswerBytes: Int = 64 * 1024,
    /** Above this sum the oldest stored answers are dropped; their claims stay finished. */
    val maxKeptAnswerBytes: Long = 16L * 1024 * 1024,
    val operationRetentionMs: Long = DAY_MS,
    val maxOperations: Int = 10_000,
    val documentRetentionMs: Long = DAY_MS,
    val maxDocuments: Int = 20_000,
    val orderRetentionMs: Long = DAY_MS,
    val maxOrders: Int = 10_000,
    val maxIncarnations: Int = 4_096,
    val maxMembers: Int = 9,
    /** Bounds the work of one command; expiry catches up over the following commands. */
    val maxExpiredPerCommand: Int = 64,
) {
    companion object {
        const val DAY_MS = 24L * 3_600_000
    }
}
