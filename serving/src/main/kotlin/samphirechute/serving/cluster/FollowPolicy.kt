package samphirechute.serving.cluster

import samphirechute.core.InstanceId

/**
 * Chooses the control instances that an instance follows. A control instance follows all others. With hundreds of entry
 * instances, each change is sent once over every link, so an entry instance follows only as many as it takes to lose
 * some at once.
 */
internal class FollowPolicy(
    private val isEntry: Boolean,
) {
    /**
     * Chooses from [known], in order. Those in [unusable], which are silent or have no contact to a majority, are still
     * followed, and others are followed in addition.
     */
    fun choose(
        known: Collection<InstanceId>,
        unusable: Set<InstanceId>,
        leader: InstanceId?,
    ): Set<InstanceId> {
        if (!isEntry) return known.toSet()
        val usable = known.filter { it !in unusable }.take(ENTRY_FOLLOWS)
        return (usable + unusable + listOfNotNull(leader)).toSet()
    }

    private companion object {
        /** One more than the control instances that the largest deployment may lose at once. */
        const val ENTRY_FOLLOWS = 3
    }
}
