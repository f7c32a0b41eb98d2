package samphirechute.state.lease

import samphirechute.core.InstanceId

/** The state of one instance in the election of its failure domain, owned by [DomainLease]. */
internal sealed class Phase {
    /** Not a candidate. It becomes one at [candidateAtMs], unless that is null. */
    data class Idle(
        val candidateAtMs: Long?,
    ) : Phase()

    /** A candidate for [self]'s epoch, which gives up at [untilMs]. [refused] are the voters that refused. */
    sealed class Candidate : Phase() {
        abstract val self: LeaseHolder
        abstract val untilMs: Long
        val refused = mutableSetOf<InstanceId>()
    }

    /** Asks who would vote for it; [supporters] would. */
    class Probing(
        override val self: LeaseHolder,
        override val untilMs: Long,
        val supporters: MutableSet<InstanceId>,
    ) : Candidate()

    /** Requests votes. */
    class Campaigning(
        override val self: LeaseHolder,
        override val untilMs: Long,
        val votes: VoteCount,
    ) : Candidate()

    /** Holds the lease and renews [votes] at [nextRenewalMs]. */
    class Holding(
        val self: LeaseHolder,
        val votes: VoteCount,
        var nextRenewalMs: Long,
    ) : Phase()
}
