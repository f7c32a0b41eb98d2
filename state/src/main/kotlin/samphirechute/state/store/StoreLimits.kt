package samphirechute.state.store

/** Limits of the replicated state. All members must use the same values, because results depend on them. */
data class StoreLimits(
    /** A claim with a later deadline is refused, so that no claim outlives its retention. */
    val maxClaimDeadlineMs: Long = DAY_MS,
    val claimRetentionMs: Long = DAY_MS,
    val claimGraceMs: Long = 5_000,
    val maxClaims: Int = 200_000,
    val maxAnswerBytes: Int = 64 * 1024,
    /** Above this total the oldest kept answers are dropped; their claims stay finished. */
    val maxKeptAnswerBytes: Long = 16L * 1024 * 1024,
    val operationRetentionMs: Long = DAY_MS,
    val maxOperations: Int = 10_000,
    val documentRetentionMs: Long = DAY_MS,
    val maxDocuments: Int = 20_000,
    val orderRetentionMs: Long = DAY_MS,
    val maxOrders: Int = 10_000,
    val maxIncarnations: Int = 4_096,
    val maxMembers: Int = 9,
    val maxQuarantines: Int = 256,
    /** Limits the work per command: at most this many claims expire with one, the rest with the following commands. */
    val maxExpiredPerCommand: Int = 64,
) {
    companion object {
        const val DAY_MS = 24L * 3_600_000
    }
}
