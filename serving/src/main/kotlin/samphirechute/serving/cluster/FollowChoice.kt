package samphirechute.serving.cluster

import samphirechute.core.InstanceId

/**
 * Which control instances an instance follows. The load that it answers is hundreds of entry instances: each change comes
 * once over every link, so an entry instance keeps only as many as it needs to lose some at once.
 */
internal class FollowChoice(
    private val isEntry: Boolean,
) {
    /** Of all that are [known], in order; those in [silent] are asked on, and replaced meanwhile. */
    fun choose(
        known: Collection<InstanceId>,
        silent: Set<InstanceId>,
        leader: InstanceId?,
    ): Set<InstanceId> {
        if (!isEntry) return known.toSet()
        val answering = known.filter { it !in silent }.take(ENTRY_LINKS)
        return (answering + silent + listOfNotNull(leader)).toSet()
    }

    private companion object {
        /** One more than the losses that the largest deployment has to bear at once. */
        const val ENTRY_LINKS = 3
    }
}
