package samphirechute.state.host

import samphirechute.state.raft.RaftTimings
import samphirechute.state.sim.CoreReplacement
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a store that has no leader in time while every member that runs is needed. */
class CoreReplacementOpenSeedsSpec {
    @Test
    fun `three members are replaced and the store goes on`() =
        assertEquals(emptyList(), listOf(101413L, 102266L).flatMap { CoreReplacement(it, 1, PRODUCT).run() })

    @Test
    fun `three members with small batches are replaced and the store goes on`() =
        assertEquals(
            emptyList(),
            listOf(22L, 200223L, 201255L, 204681L).flatMap { CoreReplacement(it, 1, SMALL).run() },
        )

    @Test
    fun `five members with small batches are replaced and the store goes on`() =
        assertEquals(emptyList(), CoreReplacement(202827, 2, SMALL).run())

    private companion object {
        val PRODUCT = RaftTimings(hasLeaseReads = false)
        val SMALL =
            PRODUCT.copy(
                catchUpEntries = 2,
                maxBatchEntries = 4,
                maxInFlightEntries = 4,
                snapshotEntries = 12,
                trailingEntries = 6,
            )
    }
}
