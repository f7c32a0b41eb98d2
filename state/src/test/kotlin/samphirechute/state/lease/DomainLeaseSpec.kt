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
     * One fault against a steady holder. [expects] is whether the holder changes; then another must hold the lease
     * within [withinMs], or else the same one must hold it throughout. A null [expects] only asks for some holder.
     */
    private class Row(
        val name: String,
        val expects: Boolean?,
        val withinMs: Long,
        val fault: LeaseWorld.(holder: InstanceId, other: InstanceId) -> Unit,
    )

    private val rows =
        listOf(
            Row("the holder is killed", true, FAILOVER_MS) { holder, _ -> kill(holder) },
            Row("the holder is restarted", true, FAILOVER_MS) { holder, _ -> restart(holder) },
            Row("the holder is paused", true, FAILOVER_MS) { holder, _ -> pause(holder) },
            Row("the holder is cut off", true, FAILOVER_MS) { holder, _ -> network.cutBoth(listOf(holder), ids) },
            Row("the holder is not heard", true, FAILOVER_MS) { holder, _ -> ids.forEach { network.cut(holder, it) } },
            Row("the holder hears nobody", true, FAILOVER_MS) { holder, _ -> ids.forEach { network.cut(it, holder) } },
            Row("the holder hands back", true, 600) { holder, _ ->
                give(holder, LeaseInput.EligibilityChanged(false))
            },
            Row("all are restarted", null, FAILOVER_MS) { _, _ -> ids.forEach(::restart) },
            Row("another voter is lost", false, FAILOVER_MS) { _, other -> kill(other) },
            Row("another voter is cut off", false, FAILOVER_MS) { _, other -> network.cutBoth(listOf(other), ids) },
            Row(
                "another voter hears nobody",
                false,
                FAILOVER_MS,
            ) { _, other -> ids.forEach { network.cut(it, other) } },
            Row("the clock of another voter jumps", false, FAILOVER_MS) { _, other -> jump(other, 60_000) },
            Row("the clock of the holder jumps", null, FAILOVER_MS) { holder, _ -> jump(holder, 60_000) },
            Row("messages are repeated and reordered", false, FAILOVER_MS) { _, _ ->
                network.duplicationRate = 0.5
                network.delayMs = 0L..200L
            },
            Row("a fifth of the messages is lost", false, 20_000) { _, _ -> network.lossRate = 0.2 },
            Row("a second holder is lost right after the repair of the first", true, FAILOVER_MS) { holder, _ ->
                kill(holder)
                run(FAILOVER_MS)
                restart(holder)
                kill(holders().single())
            },
        )

    private fun steadyWorld(size: Int = 3) =
        LeaseWorld(SEED, size).apply {
            run(FAILOVER_MS + RENEWAL_MS)
            assertEquals(1, holders().size, "a domain that has just started has a holder")
        }

    @Nested
    inner class Faults {
        /** Guards against a domain without a coordinator for longer than one lease and one election. */
        @Test
        fun `a fault changes the holder in time, or not at all`() {
            for (row in rows) {
                val world = steadyWorld()
                val holder = world.holders().single()
                val acquiredBefore = world.acquired.size
                row.fault(world, holder, world.ids.first { it != holder })
                world.run(row.withinMs)
                assertEquals(emptyList(), world.faults, row.name)
                if (row.expects == false) assertEquals(acquiredBefore, world.acquired.size, row.name)
                if (row.expects != true) assertEquals(1, world.holders().size, row.name)
                if (row.expects == true) assertTrue(world.acquired.size > acquiredBefore, row.name)
            }
        }

        /** Guards against a holder that acts on after a pause, since its loop has not run meanwhile. */
        @Test
        fun `a paused holder does not hold after its lease, before any timer has run`() {
            val world = steadyWorld()
            val holder = world.holders().single()
            world.pause(holder)
            world.run(VOTE_MS - LEASE_MARGIN_MS)
            assertFalse(holder in world.holders())
        }

        /** Guards against a coordinator without a majority. */
        @Test
        fun `two of three lost means no holder, and one that returns means a holder`() {
            val world = steadyWorld()
            val lost = world.ids.take(2).onEach(world::kill)
            world.run(10_000)
            assertEquals(emptyList(), world.holders())
            world.restart(lost.first())
            world.run(FAILOVER_MS)
            assertEquals(1, world.holders().size)
        }

        /** Guards against leaving instances that take the lease again after they handed it back. */
        @Test
        fun `a leaving or drained instance is no candidate`() {
            val world = steadyWorld()
            world.ids.take(2).forEach { world.give(it, LeaseInput.EligibilityChanged(false)) }
            world.run(FAILOVER_MS)
            assertEquals(listOf(world.ids[2]), world.holders())
            world.give(world.ids[2], LeaseInput.EligibilityChanged(false))
            world.run(10_000)
            assertEquals(emptyList(), world.holders())
        }
    }

    @Nested
    inner class Contention {
        /** Guards against many voters that compete so long that a domain is without a coordinator for over 4 s. */
        @Test
        fun `a domain of 51 voters that starts at once has a holder in 4 s`() {
            for (seed in 1L..10L) {
                val world = LeaseWorld(seed, size = 51)
                world.run(4_000)
                assertEquals(1, world.holders().size, "seed $seed")
            }
        }
    }

    @Nested
    inner class Knowledge {
        /** Guards against instances that know the holder only after its next renewal, or not its address. */
        @Test
        fun `all voters know the holder with its address as soon as it holds the lease`() {
            val world = LeaseWorld(SEED, 5)
            while (world.holders().isEmpty() && world.timer.nowMs() < 5_000) world.run(10)
            world.run(10)
            val known = world.ids.map { assertNotNull(world.known(it)) }.toSet()
            assertEquals(world.holders().single(), known.single().instance)
            assertEquals(HostPort("127.0.0.1", 1), known.single().address)
        }
    }

    @Nested
    inner class Wire {
        /** Guards against messages that a peer cannot read. */
        @Test
        fun `every message survives the wire`() {
            val holder = LeaseHolder(InstanceId("a"), 1, HostPort("127.0.0.1", 1), 2)
            val messages =
                listOf(
                    LeaseMessage.Probe(holder, 1),
                    LeaseMessage.Ask(holder, 2, isHolding = true),
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

        /** A vote, the longest candidacy delay, and a tick. */
        const val FAILOVER_MS = 2_000L + 450L + 50L
    }
}
