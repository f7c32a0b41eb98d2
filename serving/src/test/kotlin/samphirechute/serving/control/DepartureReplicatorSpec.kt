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
    private val members = Members()
    private val desk = DepartureReplicator(timer, registry, members)
    private val answers = ArrayList<Boolean>()
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

    private class Members : StorePeers {
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

    private fun take(count: Int) = repeat(count) { members.open.removeFirst()(true) }

    @Nested
    inner class AnInstanceThatIsCutOff {
        /** Guards against requests to an upstream whose leaving only a cut-off instance has acknowledged. */
        @Test
        fun `acknowledges no leaving though it still counts as in touch`() {
            registry.register(ready)
            desk.markGone(ready.id, answers::add)
            assertEquals(emptyList(), answers)
            take(1)
            timer.advanceBy(1_000)
            assertEquals(listOf(false), answers)
        }

        @Test
        fun `refuses at once when it knows that it is`() {
            members.hasLeaderContact = false
            desk.markDraining(draining, answers::add)
            assertEquals(listOf(false), answers)
            assertEquals(emptyList(), members.sentNotices)
        }
    }

    @Nested
    inner class AMajorityThatKnows {
        @Test
        fun `makes the acknowledgement, once`() {
            desk.markDraining(draining, answers::add)
            take(1)
            assertEquals(emptyList(), answers)
            take(3)
            timer.advanceBy(1_000)
            assertEquals(listOf(true), answers)
        }

        @Test
        fun `is not asked again about the same state of the same life`() {
            desk.markDraining(draining, answers::add)
            take(4)
            desk.markDraining(draining.copy(sequence = 3), answers::add)
            assertEquals(listOf(true, true), answers)
            assertEquals(4, members.sentNotices.size)
        }

        @Test
        fun `is asked again about the end, and about another life`() {
            desk.markDraining(draining, answers::add)
            take(4)
            desk.markGone(draining.id, answers::add)
            take(4)
            desk.markDraining(draining.copy(bornMs = 6, sequence = 1), answers::add)
            assertEquals(listOf(true, true), answers)
            assertEquals(12, members.sentNotices.size)
        }

        @Test
        fun `is the instance itself where it is the only member`() {
            members.others = emptyList()
            desk.markDraining(draining, answers::add)
            assertEquals(listOf(true), answers)
        }
    }

    @Nested
    inner class AnEndOfAnUnknownUpstream {
        /** Guards an instance that has just started, to which the only word of an end may come. */
        @Test
        fun `is passed on to those who know it`() {
            desk.markGone(ready.id, answers::add)
            assertEquals(LeavingNotice(ready.id, null), members.sentNotices.first())
            val other = UpstreamRegistry(timer, announceEveryMs = 1_200) {}
            other.register(ready)
            DepartureReplicator(timer, other, members).applyNotice(members.sentNotices.first())
            assertEquals(UpstreamState.GONE, other.table[ready.id]?.state)
        }
    }
}
