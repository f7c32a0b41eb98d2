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

    private fun steadyCluster(
        perDomain: Int = 5,
        seed: Long = 11,
    ) = SyncCluster(seed, perDomain = perDomain).apply {
        store.publish()
        run(8_000)
        assertEquals(emptyList(), differences())
    }

    /** A fault. A change made after it at a store member must be in force in time on all instances of [reaches]. */
    private class Row(
        val name: String,
        val reaches: SyncCluster.() -> List<SyncCluster.Node> = { nodes.values.filter { it.process.isUp } },
        val fault: SyncCluster.() -> Unit = {},
    )

    private fun SyncCluster.isolate(name: String) = network.cutBoth(domain(name), ids - domain(name).toSet())

    private fun SyncCluster.coordinator(name: String) =
        nodes.values.first { it.domain.value == name && it.lease.isHolding(it.process.nowMs()) }

    private val rows =
        listOf(
            Row("no fault"),
            Row("a coordinator is killed") { coordinator("b").kill() },
            Row("messages from a coordinator are lost") {
                coordinator("b").let { one ->
                    ids.forEach { network.cut(one.id, it) }
                }
            },
            Row("every coordinator is killed") { listOf("a", "b", "c").forEach { coordinator(it).kill() } },
            Row("an instance reaches only one other") {
                network.cutBoth(listOf(node("b3").id), ids - node("c4").id)
                run(5_000)
            },
            Row("an instance is restarted") { node("b3").restart() },
            Row("an instance is paused for a long time") {
                node("b3").run { process.pause().also { run(20_000) }.also { process.resume() } }
            },
            Row("a clock jumps") { node("b3").process.jumpClock(100_000) },
            Row("messages are delayed, duplicated and reordered") {
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
        /** Guards against instances that learn a configuration or a drain late although a path to them is left. */
        @Test
        fun `a configuration and a drain are in force on every reachable instance within 3 s`() {
            for (row in rows) {
                val cluster = steadyCluster()
                row.fault(cluster)
                cluster.store.publish()
                cluster.drain(cluster.node("a1"), target)
                cluster.run(3_000)
                for (node in row.reaches(cluster)) {
                    assertEquals(
                        cluster.store.configuration.revision,
                        node.sync.configuration.revision,
                        "${row.name}: ${node.id}",
                    )
                    assertEquals(setOf<DrainTarget>(target), node.sync.drainedTargets, "${row.name}: ${node.id}")
                }
                assertEquals(emptyList(), cluster.violations, row.name)
            }
        }

        /** Guards against a change that waits for the next exchange: the p99 over 15 instances must be at most 1 s. */
        @Test
        fun `a change is pushed at once, so that the p99 until it is in force is at most 1 s`() {
            val cluster = steadyCluster()
            val delaysMs = mutableListOf<Long>()
            repeat(100) {
                cluster.store.publish()
                val waiting = cluster.nodes.values.toMutableSet()
                for (elapsedMs in 0L..5_000L step 10) {
                    waiting.removeIf { node ->
                        val isInForce = node.sync.configuration.revision == cluster.store.configuration.revision
                        isInForce.also { if (it) delaysMs += elapsedMs }
                    }
                    cluster.run(10)
                }
                assertTrue(waiting.isEmpty())
            }
            // Without the push, half of the instances would wait for a periodic exchange, which comes every 500 ms.
            assertTrue(delaysMs.sorted()[delaysMs.size / 2] <= 100, "p50 of $delaysMs")
            assertTrue(
                delaysMs.sorted()[(delaysMs.size * 99) / 100] <= 1_000,
                "p99 of ${delaysMs.sorted().takeLast(20)}",
            )
        }
    }

    @Nested
    inner class Partitions {
        /** Guards against a partition mistaken for a drain, and against a drain order in it that is lost or ignored. */
        @Test
        fun `a drain order in an isolated failure domain holds there, and everywhere after the partition`() {
            val cluster = steadyCluster()
            cluster.isolate("c")
            cluster.run(10_000)
            assertTrue(cluster.nodes.values.all { it.sync.drainedTargets.isEmpty() })
            cluster.drain(cluster.node("c4"), target)
            cluster.run(3_000)
            val drained = cluster.nodes.values.filter { target in it.sync.drainedTargets }
            assertEquals(cluster.domain("c").toSet(), drained.map { it.id }.toSet())
            cluster.node("c4").kill()
            cluster.network.heal()
            cluster.run(10_000)
            assertEquals(setOf<DrainTarget>(target), cluster.store.drains.targets)
            cluster.node("c4").start()
            cluster.drain(cluster.node("c2"), target, isDrained = false)
            cluster.run(5_000)
            assertEquals(emptyList(), cluster.differences())
            assertEquals(emptySet(), cluster.store.drains.targets)
        }

        /** Guards against an instance that is restarted in an isolated failure domain with an older configuration. */
        @Test
        fun `an isolated domain keeps its revision and drains when its instances restart one by one`() {
            val cluster = steadyCluster()
            cluster.isolate("c")
            cluster.store.publish()
            cluster.drain(cluster.node("c4"), target)
            cluster.run(1_000)
            val revision =
                cluster
                    .node("c1")
                    .sync.configuration.revision
            for (id in cluster.domain("c")) {
                cluster.nodes.getValue(id).restart()
                cluster.run(4_000)
                val sync = cluster.nodes.getValue(id).sync
                assertTrue(sync.isReady)
                assertEquals(revision, sync.configuration.revision)
                assertEquals(setOf<DrainTarget>(target), sync.drainedTargets)
            }
            assertTrue(revision < cluster.store.configuration.revision)
        }
    }

    @Nested
    inner class Readiness {
        /** Guards against an instance that accepts requests before it knows any configuration. */
        @Test
        fun `an instance is not ready while it reaches no other, and becomes ready once it reaches one`() {
            val cluster = steadyCluster()
            val node = cluster.node("b3")
            cluster.network.cutBoth(listOf(node.id), cluster.ids)
            node.restart()
            cluster.run(20_000)
            assertFalse(node.sync.isReady)
            cluster.network.healLinks(listOf(node.id, cluster.node("b2").id))
            cluster.run(2_000)
            assertTrue(node.sync.isReady)
            assertEquals(1, node.sync.configuration.revision)
        }

        /** Guards against a start that waits for store members that will not answer. */
        @Test
        fun `silent peers delay a start by at most 3 s, and refusing peers do not`() {
            for (
            (name, boundMs, stop) in
            listOf<Triple<String, Long, (SyncCluster.Node) -> Unit>>(
                Triple("silent", 3_100L) { it.process.pause() },
                Triple("refusing", 1_000L) { it.kill() },
            )
            ) {
                val cluster = steadyCluster()
                cluster.nodes.values
                    .filter { it.isStore }
                    .forEach(stop)
                val node = cluster.node("b3").apply { restart() }
                cluster.run(boundMs)
                assertTrue(node.sync.isReady, name)
            }
        }
    }

    @Nested
    inner class Members {
        /** Guards against dead members that are noticed late, and against a restarted member that stays dead. */
        @Test
        fun `a silent member is suspected and then dead, and a newer incarnation clears both`() {
            val cluster = steadyCluster()
            val watcher = cluster.node("b2").sync

            fun health() = watcher.members.single { it.instance == cluster.node("b3").id }.health
            cluster.node("b3").kill()
            val seen = (1..16).map { cluster.run(500).let { health() } }
            assertEquals(listOf(MemberHealth.ALIVE, MemberHealth.SUSPECTED, MemberHealth.DEAD), seen.distinct())
            assertTrue(seen.indexOf(MemberHealth.SUSPECTED) in 4..7, "$seen")
            cluster.node("b3").start()
            cluster.run(2_000)
            assertEquals(MemberHealth.ALIVE, health())
        }

        /** Guards against a pause or clock jump of this instance that makes all others look dead. */
        @Test
        fun `a clock jump makes no member suspected`() {
            val cluster = steadyCluster()
            cluster.node("b2").process.jumpClock(60_000)
            cluster.run(100)
            assertEquals(
                setOf(MemberHealth.ALIVE),
                cluster
                    .node("b2")
                    .sync.members
                    .map { it.health }
                    .toSet(),
            )
        }
    }

    @Nested
    inner class Coordinators {
        /** Guards against grants that end because their renewal went to the wrong instance or arrived out of order. */
        @Test
        fun `held grants reach the coordinator of their domain every period, and a new coordinator at once`() {
            val cluster = steadyCluster()
            val holder = cluster.nodes.values.first { it.domain.value == "a" && it != cluster.coordinator("a") }
            for (domain in listOf("a", "b")) {
                holder.handle(SyncInput.GrantsChanged(FailureDomain(domain), JsonPrimitive("held of $domain")))
            }
            cluster.run(1_100)
            assertEquals("\"held of a\"", cluster.coordinator("a").reportedGrants[holder.id])
            assertEquals("\"held of b\"", cluster.coordinator("b").reportedGrants[holder.id])
            val old = cluster.coordinator("a")
            old.handleLease(LeaseInput.EligibilityChanged(false))
            cluster.run(1_000)
            assertTrue(old != cluster.coordinator("a"))
            assertEquals("\"held of a\"", cluster.coordinator("a").reportedGrants[holder.id])
        }

        /** Guards against the use of old load figures of a failure domain that can't be reached. */
        @Test
        fun `digests reach every instance, and are dropped when they are too old`() {
            val cluster = steadyCluster()
            cluster.isolate("c")
            cluster.run(DIGEST_FRESH_MS)
            val known =
                cluster.nodes.values.associate {
                    it.id to
                        it.sync.digests(it.process.nowMs()).map { d -> d.failureDomain.value }
                }
            for ((id, domains) in known) {
                assertEquals(if (id.value.startsWith("c")) listOf("c") else listOf("a", "b"), domains, "$id")
            }
        }

        /** Guards against a new coordinator that learns the upstreams only from their next announcement. */
        @Test
        fun `upstream reports are forwarded to the coordinator, and again to a new one`() {
            val cluster = steadyCluster()
            val node = cluster.nodes.values.first { it.domain.value == "a" && it != cluster.coordinator("a") }
            node.handle(SyncInput.UpstreamReported(UpstreamId("u"), JsonPrimitive("report")))
            assertEquals(listOf(cluster.coordinator("a").id), node.forwarded)
            cluster.coordinator("a").handleLease(LeaseInput.EligibilityChanged(false))
            cluster.run(1_000)
            assertEquals(2, node.forwarded.size)
            assertEquals(cluster.coordinator("a").id, node.forwarded.last())
        }
    }
}
