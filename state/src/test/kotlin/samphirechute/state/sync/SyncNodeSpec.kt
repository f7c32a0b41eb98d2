package samphirechute.state.sync

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId
import samphirechute.state.command.DrainTarget
import samphirechute.state.lease.LeaseInput
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SyncNodeSpec {
    private val target = DrainTarget.Upstream(UpstreamId("u"))

    private fun steadyWorld(
        perDomain: Int = 5,
        seed: Long = 11,
    ) = SyncWorld(seed, perDomain = perDomain).apply {
        store.publish()
        run(8_000)
        assertEquals(emptyList(), differences())
    }

    /** One fault; then a change made at a store member must be in force at every instance [reaches] names, in time. */
    private class Row(
        val name: String,
        val reaches: SyncWorld.() -> List<SyncWorld.Node> = { nodes.values.filter { it.process.isUp } },
        val fault: SyncWorld.() -> Unit = {},
    )

    private fun SyncWorld.isolate(name: String) = network.cutBoth(domain(name), ids - domain(name).toSet())

    private fun SyncWorld.coordinator(name: String) =
        nodes.values.first { it.domain.value == name && it.lease.isHolding(it.process.nowMs()) }

    private val rows =
        listOf(
            Row("no fault"),
            Row("the coordinator is killed") { coordinator("b").kill() },
            Row("the coordinator is not heard") {
                coordinator("b").let { one ->
                    ids.forEach { network.cut(one.id, it) }
                }
            },
            Row("every coordinator is killed") { listOf("a", "b", "c").forEach { coordinator(it).kill() } },
            Row("an instance reaches one other only") {
                network.cutBoth(listOf(node("b3").id), ids - node("c4").id)
                run(5_000)
            },
            Row("an instance is restarted") { node("b3").restart() },
            Row("an instance is paused for long") {
                node("b3").run { process.pause().also { run(20_000) }.also { process.resume() } }
            },
            Row("a clock jumps") { node("b3").process.jumpClock(100_000) },
            Row("messages are delayed, repeated and reordered") {
                network.delayMs = 0L..300L
                network.duplicationRate = 0.5
            },
            Row("a fifth of the messages is lost") { network.lossRate = 0.2 },
            Row(
                "a failure domain is cut off",
                { domain("a").plus(domain("b")).map { nodes.getValue(it) } },
            ) { isolate("c") },
            Row("an instance is killed right after the restart of another") {
                node("b3").restart()
                run(500)
                node("b4").kill()
            },
        )

    @Nested
    inner class Changes {
        /** Guards against instances that learn a configuration or a drain late, on any path that is left. */
        @Test
        fun `a configuration and a drain are in force everywhere they can reach within 3 s`() {
            for (row in rows) {
                val world = steadyWorld()
                row.fault(world)
                world.store.publish()
                world.drain(world.node("a1"), target)
                world.run(3_000)
                for (node in row.reaches(world)) {
                    assertEquals(
                        world.store.configuration.revision,
                        node.sync.configuration.revision,
                        "${row.name}: ${node.id}",
                    )
                    assertEquals(setOf<DrainTarget>(target), node.sync.drainedTargets, "${row.name}: ${node.id}")
                }
                assertEquals(emptyList(), world.faults, row.name)
            }
        }

        /** Guards against a change that waits for the next exchange: p99 over 15 instances must be 1 s at most. */
        @Test
        fun `a change is pushed, so that it is in force in p99 at most 1 s`() {
            val world = steadyWorld()
            val delaysMs = mutableListOf<Long>()
            repeat(100) {
                world.store.publish()
                val waiting = world.nodes.values.toMutableSet()
                for (elapsedMs in 0L..5_000L step 10) {
                    waiting.removeIf { node ->
                        val isInForce = node.sync.configuration.revision == world.store.configuration.revision
                        isInForce.also { if (it) delaysMs += elapsedMs }
                    }
                    world.run(10)
                }
                assertTrue(waiting.isEmpty())
            }
            // Without the push, half of the instances wait for a periodic exchange, each 500 ms.
            assertTrue(delaysMs.sorted()[delaysMs.size / 2] <= 100, "p50 of $delaysMs")
            assertTrue(
                delaysMs.sorted()[(delaysMs.size * 99) / 100] <= 1_000,
                "p99 of ${delaysMs.sorted().takeLast(20)}",
            )
        }
    }

    @Nested
    inner class Partitions {
        /** Guards against a partition that is taken for a drain, and an order in it that is lost or has no effect. */
        @Test
        fun `an order in an isolated failure domain holds there, and everywhere once it is reached`() {
            val world = steadyWorld()
            world.isolate("c")
            world.run(10_000)
            assertTrue(world.nodes.values.all { it.sync.drainedTargets.isEmpty() })
            world.drain(world.node("c4"), target)
            world.run(3_000)
            val drained = world.nodes.values.filter { target in it.sync.drainedTargets }
            assertEquals(world.domain("c").toSet(), drained.map { it.id }.toSet())
            world.node("c4").kill()
            world.network.heal()
            world.run(10_000)
            assertEquals(setOf<DrainTarget>(target), world.store.drains.targets)
            world.node("c4").start()
            world.drain(world.node("c2"), target, isDrained = false)
            world.run(5_000)
            assertEquals(emptyList(), world.differences())
            assertEquals(emptySet(), world.store.drains.targets)
        }

        /** Guards against a restart in an isolated failure domain that comes back with an older configuration. */
        @Test
        fun `instances restarted one after the other in an isolated domain keep its revision and its drains`() {
            val world = steadyWorld()
            world.isolate("c")
            world.store.publish()
            world.drain(world.node("c4"), target)
            world.run(1_000)
            val revision =
                world
                    .node("c1")
                    .sync.configuration.revision
            for (id in world.domain("c")) {
                world.nodes.getValue(id).restart()
                world.run(4_000)
                val sync = world.nodes.getValue(id).sync
                assertTrue(sync.isReady)
                assertEquals(revision, sync.configuration.revision)
                assertEquals(setOf<DrainTarget>(target), sync.drainedTargets)
            }
            assertTrue(revision < world.store.configuration.revision)
        }
    }

    @Nested
    inner class Readiness {
        /** Guards against an instance that takes requests before it knows any configuration. */
        @Test
        fun `an instance that reaches nobody stays not ready, and is ready once it reaches one`() {
            val world = steadyWorld()
            val node = world.node("b3")
            world.network.cutBoth(listOf(node.id), world.ids)
            node.restart()
            world.run(20_000)
            assertFalse(node.sync.isReady)
            world.network.healLinks(listOf(node.id, world.node("b2").id))
            world.run(2_000)
            assertTrue(node.sync.isReady)
            assertEquals(1, node.sync.configuration.revision)
        }

        /** Guards against a start that waits for stores that will not answer. */
        @Test
        fun `silent peers hold up a start by 3 s at most, and refusing ones do not`() {
            for (
            (name, boundMs, stop) in
            listOf<Triple<String, Long, (SyncWorld.Node) -> Unit>>(
                Triple("silent", 3_100L) { it.process.pause() },
                Triple("refusing", 1_000L) { it.kill() },
            )
            ) {
                val world = steadyWorld()
                world.nodes.values
                    .filter { it.isStore }
                    .forEach(stop)
                val node = world.node("b3").apply { restart() }
                world.run(boundMs)
                assertTrue(node.sync.isReady, name)
            }
        }
    }

    @Nested
    inner class Members {
        /** Guards against deaths that are not noticed in time, and against a restart that is not seen as a new life. */
        @Test
        fun `a silent member is suspected and then dead, and a newer incarnation clears both`() {
            val world = steadyWorld()
            val watcher = world.node("b2").sync

            fun health() = watcher.members.single { it.instance == world.node("b3").id }.health
            world.node("b3").kill()
            val seen = (1..16).map { world.run(500).let { health() } }
            assertEquals(listOf(MemberHealth.ALIVE, MemberHealth.SUSPECTED, MemberHealth.DEAD), seen.distinct())
            assertTrue(seen.indexOf(MemberHealth.SUSPECTED) in 4..7, "$seen")
            world.node("b3").start()
            world.run(2_000)
            assertEquals(MemberHealth.ALIVE, health())
        }

        /** Guards against a pause or a jump of the own clock that makes everyone else look dead. */
        @Test
        fun `a clock that jumps makes no member suspected`() {
            val world = steadyWorld()
            world.node("b2").process.jumpClock(60_000)
            world.run(100)
            assertEquals(
                setOf(MemberHealth.ALIVE),
                world
                    .node("b2")
                    .sync.members
                    .map { it.health }
                    .toSet(),
            )
        }
    }

    @Nested
    inner class Coordinators {
        /** Guards against grants that end because their renewal went to the wrong instance, or came in another order. */
        @Test
        fun `held grants reach the coordinator of their domain each period, and a new one at once`() {
            val world = steadyWorld()
            val holder = world.nodes.values.first { it.domain.value == "a" && it != world.coordinator("a") }
            for (domain in listOf("a", "b")) {
                holder.handle(SyncInput.GrantsChanged(FailureDomain(domain), JsonPrimitive("held of $domain")))
            }
            world.run(1_100)
            assertEquals("\"held of a\"", world.coordinator("a").held[holder.id])
            assertEquals("\"held of b\"", world.coordinator("b").held[holder.id])
            val old = world.coordinator("a")
            old.handleLease(LeaseInput.EligibilityChanged(false))
            world.run(1_000)
            assertTrue(old != world.coordinator("a"))
            assertEquals("\"held of a\"", world.coordinator("a").held[holder.id])
        }

        /** Guards against load figures of a domain that cannot be reached. */
        @Test
        fun `digests reach every instance, and end when they are no longer fresh`() {
            val world = steadyWorld()
            world.isolate("c")
            world.run(DIGEST_FRESH_MS)
            val known =
                world.nodes.values.associate {
                    it.id to
                        it.sync.digests(it.process.nowMs()).map { d -> d.failureDomain.value }
                }
            for ((id, domains) in known) {
                assertEquals(if (id.value.startsWith("c")) listOf("c") else listOf("a", "b"), domains, "$id")
            }
        }

        /** Guards against upstreams that a new coordinator knows only after their next announcement. */
        @Test
        fun `reports are forwarded to the coordinator, and again to a new one`() {
            val world = steadyWorld()
            val node = world.nodes.values.first { it.domain.value == "a" && it != world.coordinator("a") }
            node.handle(SyncInput.UpstreamReported(UpstreamId("u"), JsonPrimitive("report")))
            assertEquals(listOf(world.coordinator("a").id), node.forwarded)
            world.coordinator("a").handleLease(LeaseInput.EligibilityChanged(false))
            world.run(1_000)
            assertEquals(2, node.forwarded.size)
            assertEquals(world.coordinator("a").id, node.forwarded.last())
        }
    }
}
