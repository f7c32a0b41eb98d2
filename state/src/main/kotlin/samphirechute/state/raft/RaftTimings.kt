package samphirechute.state.raft

/**
 * Times and bounds of the replicated log. A lost leader is replaced within [electionMaxMs], one vote and one write,
 * which keeps the target of 1 s from leader loss to the next commit.
 */
data class RaftTimings(
    val heartbeatIntervalMs: Long = 100,
    val electionMinMs: Long = 300,
    val electionMaxMs: Long = 600,
    /**
     * False where every read is confirmed by a majority. No lease can then outlive the restart of the voters that
     * granted it, so a member that has just started need not wait for one to end.
     */
    val hasLeaseReads: Boolean = true,
    /** The first election of a member that has started where no lease binds it. */
    val firstElectionMinMs: Long = 60,
    val firstElectionMaxMs: Long = 200,
    /** Wait before an election that got no majority is tried again. */
    val retryMinMs: Long = 50,
    val retryMaxMs: Long = 200,
    /** Bounds the clock rate error and the scheduling delay between the leader and the voters that grant its lease. */
    val leaseMarginMs: Long = 50,
    /** A leader whose own write takes longer steps down; its followers cannot see that its disk hangs. */
    val diskStallMs: Long = 1_000,
    val helloIntervalMs: Long = 200,
    /** A voter without a leader asks rarely, since its messages come beside those of the elections. */
    val voterHelloIntervalMs: Long = 1_000,
    /** A voter that hears nothing for so long asks whether it still is one. */
    val removalCheckMs: Long = 2_000,
    /** A member being added that takes longer to catch up is refused. */
    val catchUpTimeoutMs: Long = 60_000,
    /** A member being added counts once it lacks at most this many entries. */
    val catchUpEntries: Long = 64,
    val maxBatchEntries: Int = 512,
    val maxBatchBytes: Int = 1024 * 1024,
    /** Entries sent to a follower ahead of its acknowledgement. */
    val maxInFlightEntries: Long = 4_096,
    /** Proposals that wait for their commit; more are refused. */
    val maxPendingProposals: Int = 10_000,
    val snapshotEntries: Int = 10_000,
    val snapshotBytes: Long = 16L * 1024 * 1024,
    /** Entries kept in memory behind a snapshot, for followers that lag a little. */
    val trailingEntries: Long = 2_000,
)
