package samphirechute.state.lease

import samphirechute.core.InstanceId

/** What an instance is doing about the lease of its failure domain. */
internal sealed class Phase {
    /** Not a candidate, or one from [candidacyMs] on. */
    data class Idle(
        val candidacyMs: Long?,
    ) : Phase()

    class Probing(
        val self: LeaseHolder,
        val untilMs: Long,
        val willing: MutableSet<InstanceId>,
    ) : Phase()

    class Asking(
        val self: LeaseHolder,
        val untilMs: Long,
        val votes: VoteCount,
    ) : Phase()

    class Holding(
        val self: LeaseHolder,
        val votes: VoteCount,
        var nextAskMs: Long,
    ) : Phase()
}
