package samphirechute.routing.ledger

/** Times and bounds of a [DomainLedger]. Production uses the defaults; tests and benches may use smaller values. */
data class LedgerLimits(
    /** A grant ends when its holder has not renewed it for this long. */
    val leaseMs: Long = 2_000,
    /** A grant older than this that its holder does not list in a renewal was never used and ends. */
    val unusedMs: Long = 1_000,
    /** A new coordinator issues no grants for this long after its epoch began, until it knows the load. */
    val learningMs: Long = 1_000,
    /** An upstream gets no new work when it has not reported for longer than this. */
    val silentMs: Long = 3_000,
    /** The longest delay between the state of an upstream and the report that describes it. */
    val reportLagMs: Long = 1_000,
    /** A request without a grant that an upstream still reports as using memory after this long is cancelled. */
    val orphanMs: Long = 2_000,
    /** A cancellation is repeated after this long if the engine still holds the memory. */
    val reclaimRepeatMs: Long = 1_000,
    /** A waiting request moves up one urgency class after each period of this length. */
    val agingMs: Long = 2_000,
    /**
     * The longest backlog of short prefill on an engine that is given another short prompt. More work waits in the
     * queue of the coordinator, where it can still be reordered.
     */
    val maxShortBacklogMs: Long = 100,
    /** A prompt with at least this many tokens to prefill is long. */
    val longPromptTokens: Long = 32_768,
    /** The longest backlog of prefill on an engine that is given another long prompt. */
    val maxLongBacklogMs: Long = 500,
    /** The longest wait of a prompt that needs several engines. */
    val gangWaitMs: Long = 120_000,
    /** After a gang has waited this long, the engines reserved for it get no short work either. */
    val gangExclusiveAfterMs: Long = 3_000,
    /** The most tokens queued for one pool, as the time in milliseconds that the pool needs to serve them. */
    val maxQueueMs: Long = 240_000,
    /** A cold engine that was idle for this long is given one prompt above its cold limit, to prove its speed. */
    val coldIdleMs: Long = 10_000,
)
