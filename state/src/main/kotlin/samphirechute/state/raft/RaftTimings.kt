package samphirechute.state.raft

/**
 * Time intervals and limits of the replicated log. A lost leader is replaced after at most [electionMaxMs] plus one
 * vote and one write, which meets the target of 1 s from the loss of the leader to the next commit.
 */
data class RaftTimings(
    val heartbeatIntervalMs: Long = 100,
    val electionMinMs: Long = 300,
    val electionMaxMs: Long = 600,
    /**
     * False if every read is confirmed by a majority. Reads then do not rely on a lease, so a member that has just
     * started need not wait until a lease that it may have granted before the restart has ended.
     */
    val hasLeaseReads: Boolean = true,
    /** The first election timeout after a start without lease reads is between these two. */
    val firstElectionMinMs: Long = 60,
    val firstElectionMaxMs: Long = 200,
    /** An election without a majority is repeated after a random delay between these two. */
    val retryMinMs: Long = 50,
    val retryMaxMs: Long = 200,
    /** Covers the clock drift and scheduling delays between the leader and the voters that grant its lease. */
    val leaseMarginMs: Long = 50,
    /**
     * A leader whose write takes longer than this steps down, because its followers cannot detect that its disk hangs.
     */
    val diskStallMs: Long = 1_000,
    /**
     * A follower whose disk refuses writes takes no more entries while those that wait for it are larger than this, so
     * that a disk that stays full does not fill the memory. The leader sends them again with its heartbeats.
     */
    val maxRefusedBytes: Long = 16L * 1024 * 1024,
    /** The interval between hello messages of a member that is not a voter. */
    val helloIntervalMs: Long = 200,
    /** Longer for a voter without a leader, because it also sends the messages of elections. */
    val voterHelloIntervalMs: Long = 1_000,
    /** A voter without contact from a leader for this long sends hello messages, in case it has been removed. */
    val removalCheckMs: Long = 1_000,
    /** A request to join counts for this long, which is several intervals of its repetition. */
    val joinRequestMs: Long = 1_000,
    /**
     * A voter that has not answered for this long is removed if there are more voters than the minimum. A member that is
     * running is added again when it answers.
     */
    val voterSilenceMs: Long = 700,
    /** A request to leave counts for this long. */
    val leaveRequestMs: Long = 1_000,
    /** A member that is being added and has not answered for this long is given up, so that others can be added. */
    val learnerSilenceMs: Long = 1_500,
    /** A member becomes a voter only if it has answered within this time. */
    val learnerContactMs: Long = 500,
    /** The addition of a member that takes longer than this to catch up is refused. */
    val catchUpTimeoutMs: Long = 60_000,
    /** A member being added has caught up when it lacks at most this many entries. */
    val catchUpEntries: Long = 64,
    val maxBatchEntries: Int = 512,
    val maxBatchBytes: Int = 1024 * 1024,
    /** The maximum number of entries sent to a follower but not yet acknowledged. */
    val maxInFlightEntries: Long = 4_096,
    /** The maximum number of uncommitted proposals; further ones are refused. */
    val maxPendingProposals: Int = 10_000,
    /** A snapshot is written after at least this many entries, or after [snapshotBytes] of them. */
    val snapshotEntries: Int = 10_000,
    val snapshotBytes: Long = 16L * 1024 * 1024,
    /** Entries before a snapshot that are kept in memory, so that slightly lagging followers need no snapshot. */
    val trailingEntries: Long = 2_000,
)
