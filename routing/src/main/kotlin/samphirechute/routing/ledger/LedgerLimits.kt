package samphirechute.routing.ledger

/** Times and bounds of a [DomainLedger]. The defaults are those of the design; tests and benches may narrow them. */
data class LedgerLimits(
    /** A grant that its holder has not renewed for this long ends. */
    val leaseMs: Long = 2_000,
    /** A grant this old that its holder does not list was never used, and is void. */
    val unusedMs: Long = 1_000,
    /** A new coordinator gives no grant for this long after its epoch began. */
    val learningMs: Long = 1_000,
    /** An upstream that has not reported for this long gets no new work. */
    val silentMs: Long = 3_000,
    /** Reports describe a state at most this old. */
    val reportLagMs: Long = 1_000,
    /** A memory holder that nobody leases is cancelled when it is still reported after this long. */
    val orphanMs: Long = 2_000,
    /** Repeats a cancellation that an engine has not followed. */
    val reclaimRepeatMs: Long = 1_000,
    /** A waiting request moves up one class of urgency after each such period. */
    val agingMs: Long = 2_000,
    /** Short prefill work given to one engine ahead of time. More is queued here, where it can still be reordered. */
    val maxShortBacklogMs: Long = 100,
    /** A prompt with at least this many tokens to prefill is long. */
    val longPromptTokens: Long = 32_768,
    /** Long prefill that may remain on an engine when it is given another long prompt. */
    val maxLongBacklogMs: Long = 500,
    /** The longest that a prompt larger than one engine waits for its engines. */
    val gangWaitMs: Long = 120_000,
    /** After this long, engines collected for a waiting gang take no short work either. */
    val gangExclusiveAfterMs: Long = 3_000,
    /** Bound on the tokens queued for one pool, in milliseconds of its capacity. */
    val maxQueueMs: Long = 240_000,
    /** An idle cold engine takes one prompt above its cold limit when nothing else proved it for this long. */
    val coldIdleMs: Long = 10_000,
)
