package samphirechute.serving.control

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.serving.cluster.LeavingNotice
import samphirechute.serving.cluster.UpstreamRecord
import samphirechute.serving.cluster.UpstreamState
import kotlin.test.Test
import kotlin.test.assertEquals

class DepartureReplicatorSpec {
    private val timer = VirtualTimer()
    private val registry = UpstreamRegistry(timer, announceEveryMs = 1_200) {}
    private val peers = FakePeers()
    private val replicator = DepartureReplicator(timer, registry, peers)
    private val results = ArrayList<Boolean>()
    private val ready =
        UpstreamRecord(
            UpstreamId("u-1"),
            ServiceName("desk"),
            HostPort("127.0.0.1", 2),
            FailureDomain("a"),
            slots = 4,
            UpstreamState.READY,
            bornMs = 5,
            sequence = 1,
        )
    private val draining = ready.copy(state = UpstreamState.DRAINING, sequence = 2)

    private class FakePeers : StorePeers {
        override var hasLeaderContact = true
        override var others = List(4) { InstanceId("control-$it") }
        val sentNotices = ArrayList<LeavingNotice>()
        val open = ArrayList<(Boolean) -> Unit>()

        override fun sendNotice(
            member: InstanceId,
            notice: LeavingNotice,
            onResult: (Boolean) -> Unit,
        ) {
            sentNotices += notice
            open += onResult
        }
    }

    private fun acknowledge(count: Int) = repeat(count) { peers.open.removeFirst()(true) }

    @Nested
    inner class ACutOffInstance {
        /** Guards against requests to an upstream whose departure only a cut-off instance has acknowledged. */
        @Test
        fun `does not acknowledge a departure even while it still counts as having contact`() {
            registry.register(ready)
            replicator.markGone(ready.id, results::add)
            assertEquals(emptyList(), results)
            acknowledge(1)
            timer.advanceBy(1_000)
            assertEquals(listOf(false), results)
        }

        @Test
        fun `refuses at once when it knows that it has no contact`() {
            peers.hasLeaderContact = false
            replicator.markDraining(draining, results::add)
            assertEquals(listOf(false), results)
            assertEquals(emptyList(), peers.sentNotices)
        }
    }

    @Nested
    inner class ReplicationToAMajority {
        @Test
        fun `is acknowledged once`() {
            replicator.markDraining(draining, results::add)
            acknowledge(1)
            assertEquals(emptyList(), results)
            acknowledge(3)
            timer.advanceBy(1_000)
            assertEquals(listOf(true), results)
        }

        @Test
        fun `is not repeated for the same state of the same incarnation`() {
            replicator.markDraining(draining, results::add)
            acknowledge(4)
            replicator.markDraining(draining.copy(sequence = 3), results::add)
            assertEquals(listOf(true, true), results)
            assertEquals(4, peers.sentNotices.size)
        }

        @Test
        fun `is repeated for the end and for another incarnation`() {
            replicator.markDraining(draining, results::add)
            acknowledge(4)
            replicator.markGone(draining.id, results::add)
            acknowledge(4)
            replicator.markDraining(draining.copy(bornMs = 6, sequence = 1), results::add)
            assertEquals(listOf(true, true), results)
            assertEquals(12, peers.sentNotices.size)
        }

        @Test
        fun `needs no other instance when this is the only member`() {
            peers.others = emptyList()
            replicator.markDraining(draining, results::add)
            assertEquals(listOf(true), results)
        }
    }

    @Nested
    inner class DepartureOfAnUnknownUpstream {
        /** Guards an instance that has just started: the only report of a departure may come to it. */
        @Test
        fun `is sent to the other members and recorded where the upstream is known`() {
            replicator.markGone(ready.id, results::add)
            assertEquals(LeavingNotice(ready.id, null), peers.sentNotices.first())
            val other = UpstreamRegistry(timer, announceEveryMs = 1_200) {}
            other.register(ready)
            DepartureReplicator(timer, other, peers).applyNotice(peers.sentNotices.first())
            assertEquals(UpstreamState.GONE, other.table[ready.id]?.state)
        }
    }
}
