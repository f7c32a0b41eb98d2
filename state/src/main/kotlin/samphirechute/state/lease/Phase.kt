package samphirechute.state.lease

import samphirechute.core.InstanceId

/** What an instance is doing about the lease of its failure domain. */
internal sealed class Phase {
    /** Not a candidate, or one from [candidacyMs] on. */
    data class Idle(
        val candidacyMs: Long?,
    ) : Phase()

    sealed class Candidate : Phase() {
        abstract val self: LeaseHolder
        abstract val untilMs: Long
        val refused = mutableSetOf<InstanceId>()
    }

    class Probing(
        override val self: LeaseHolder,
        override val untilMs: Long,
        val willing: MutableSet<InstanceId>,
    ) : Candidate()

    class Asking(
        override val self: LeaseHolder,
        override val untilMs: Long,
        val votes: VoteCount,
    ) : Candidate()

    class Holding(
        val self: LeaseHolder,
        val votes: VoteCount,
        var nextAskMs: Long,
    ) : Phase()
}
