package samphirechute.state.lease

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class DomainLeaseSpec {
    /**
     * One fault while the holder is stable. [expectsChange] true: the lease must be acquired again within [withinMs].
     * False: it must not be acquired again and there is one holder at the end. Null: there is one holder at the end.
     */
    private class Row(
        val name: String,
        val expectsChange: Boolean?,
        val withinMs: Long,
        val fault: LeaseCluster.(holder: InstanceId, other: InstanceId) -> Unit,
    )

    private val rows =
        listOf(
            Row("the holder is killed", true, FAILOVER_MS) { holder, _ -> kill(holder) },
            Row("the holder is restarted", true, FAILOVER_MS) { holder, _ -> restart(holder) },
            Row("the holder is paused", true, FAILOVER_MS) { holder, _ -> pause(holder) },
            Row("the holder is cut off", true, FAILOVER_MS) { holder, _ -> network.cutBoth(listOf(holder), ids) },
            Row("messages from the holder are lost", true, FAILOVER_MS) { holder, _ ->
                ids.forEach { network.cut(holder, it) }
            },
            Row("messages to the holder are lost", true, FAILOVER_MS) { holder, _ ->
                ids.forEach { network.cut(it, holder) }
            },
            Row("the holder releases the lease", true, 600) { holder, _ ->
                feed(holder, LeaseInput.EligibilityChanged(false))
            },
            Row("all are restarted", null, FAILOVER_MS) { _, _ -> ids.forEach(::restart) },
            Row("another voter is lost", false, FAILOVER_MS) { _, other -> kill(other) },
            Row("another voter is cut off", false, FAILOVER_MS) { _, other -> network.cutBoth(listOf(other), ids) },
            Row(
                "messages to another voter are lost",
                false,
                FAILOVER_MS,
            ) { _, other -> ids.forEach { network.cut(it, other) } },
            Row("the clock of another voter jumps", false, FAILOVER_MS) { _, other -> jumpClock(other, 60_000) },
            Row("the clock of the holder jumps", null, FAILOVER_MS) { holder, _ -> jumpClock(holder, 60_000) },
            Row("messages are duplicated and reordered", false, FAILOVER_MS) { _, _ ->
                network.duplicationRate = 0.5
                network.delayMs = 0L..200L
            },
            Row("a fifth of the messages is lost", false, 20_000) { _, _ -> network.lossRate = 0.2 },
            Row("the next holder is killed right after the first has restarted", true, FAILOVER_MS) { holder, _ ->
                kill(holder)
                run(FAILOVER_MS)
                restart(holder)
                kill(holders().single())
            },
        )

    private fun steadyCluster(size: Int = 3) =
        LeaseCluster(SEED, size).apply {
            run(FAILOVER_MS + LEASE_RENEWAL_MS)
            assertEquals(1, holders().size, "a failure domain that has just started has a holder")
        }

    @Nested
    inner class Faults {
        /** Guards against a failure domain without a coordinator for longer than one lease and one election. */
        @Test
        fun `a fault replaces the holder in time or not at all`() {
            for (row in rows) {
                val cluster = steadyCluster()
                val holder = cluster.holders().single()
                val acquiredBefore = cluster.acquired.size
                row.fault(cluster, holder, cluster.ids.first { it != holder })
                cluster.run(row.withinMs)
                assertEquals(emptyList(), cluster.violations, row.name)
                if (row.expectsChange == false) assertEquals(acquiredBefore, cluster.acquired.size, row.name)
                if (row.expectsChange != true) assertEquals(1, cluster.holders().size, row.name)
                if (row.expectsChange == true) assertTrue(cluster.acquired.size > acquiredBefore, row.name)
            }
        }

        /** Guards against a holder that still acts after a pause because its event loop has not run in the meantime. */
        @Test
        fun `a paused holder no longer holds after the end of its lease, even before a timer has run`() {
            val cluster = steadyCluster()
            val holder = cluster.holders().single()
            cluster.pause(holder)
            cluster.run(VOTE_MS - LEASE_MARGIN_MS)
            assertFalse(holder in cluster.holders())
        }

        /** Guards against a coordinator without a majority. */
        @Test
        fun `there is no holder while two of three voters are down, and there is one when one of them returns`() {
            val cluster = steadyCluster()
            val lost = cluster.ids.take(2).onEach(cluster::kill)
            cluster.run(10_000)
            assertEquals(emptyList(), cluster.holders())
            cluster.restart(lost.first())
            cluster.run(FAILOVER_MS)
            assertEquals(1, cluster.holders().size)
        }

        /** Guards against a leaving instance that acquires the lease again after releasing it. */
        @Test
        fun `a leaving or drained instance does not become a candidate`() {
            val cluster = steadyCluster()
            cluster.ids.take(2).forEach { cluster.feed(it, LeaseInput.EligibilityChanged(false)) }
            cluster.run(FAILOVER_MS)
            assertEquals(listOf(cluster.ids[2]), cluster.holders())
            cluster.feed(cluster.ids[2], LeaseInput.EligibilityChanged(false))
            cluster.run(10_000)
            assertEquals(emptyList(), cluster.holders())
        }
    }

    @Nested
    inner class Contention {
        /** Guards against many voters that compete so long that a failure domain has no coordinator for over 4 s. */
        @Test
        fun `51 voters that start at the same time have a holder within 4 s`() {
            for (seed in 1L..10L) {
                val cluster = LeaseCluster(seed, size = 51)
                cluster.run(4_000)
                assertEquals(1, cluster.holders().size, "seed $seed")
            }
        }
    }

    @Nested
    inner class KnownHolder {
        /** Guards against instances that learn the holder only from its next renewal, or without its address. */
        @Test
        fun `all voters know the holder with its address as soon as it holds the lease`() {
            val cluster = LeaseCluster(SEED, 5)
            while (cluster.holders().isEmpty() && cluster.timer.nowMs() < 5_000) cluster.run(10)
            cluster.run(10)
            val known = cluster.ids.map { assertNotNull(cluster.knownHolder(it)) }.toSet()
            assertEquals(cluster.holders().single(), known.single().instance)
            assertEquals(HostPort("127.0.0.1", 1), known.single().address)
        }
    }

    @Nested
    inner class Serialization {
        /** Guards against messages that a peer cannot decode. */
        @Test
        fun `every message is equal after encoding and decoding`() {
            val holder = LeaseHolder(InstanceId("a"), 1, HostPort("127.0.0.1", 1), 2)
            val messages =
                listOf(
                    LeaseMessage.Probe(holder, 1),
                    LeaseMessage.VoteRequest(holder, 2, isHolding = true),
                    LeaseMessage.Vote(InstanceId("b"), 2, 2, false, false, 5, holder, 100),
                    LeaseMessage.Release(holder),
                )
            for (message in messages) {
                val text = Json.encodeToString(LeaseMessage.serializer(), message)
                assertEquals(message, Json.decodeFromString(LeaseMessage.serializer(), text))
            }
        }
    }

    private companion object {
        const val SEED = 7L

        /** The duration of a vote, the longest candidacy delay, and a tick. */
        const val FAILOVER_MS = 2_000L + 450L + 50L
    }
}
