package samphirechute.state.sync

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId
import samphirechute.state.command.DrainTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class SyncScheduleSpec {
    @Nested
    inner class RandomSchedules {
        /**
         * Guards against a revision that goes back, a configuration that differs from the published one, a drain
         * without an order, a return to service without a committed undrain, and differences that remain after healing.
         */
        @Test
        fun `revisions never go back, nothing drains without an order, and instances converge after healing`() {
            assertEquals(emptyList(), (1L..SCHEDULES).mapNotNull { runSchedule(it, null) })
        }

        /** Guards against checks that cannot fail: the same schedules must detect each planted bug. */
        @Test
        fun `the checks detect each planted fault`() {
            for (planted in PlantedSyncFault.entries) {
                assertNotNull((1L..SCHEDULES).firstNotNullOfOrNull { runSchedule(it, planted) }, planted.name)
            }
        }
    }

    private fun runSchedule(
        seed: Long,
        planted: PlantedSyncFault?,
    ): String? {
        val cluster = SyncCluster(seed, planted = planted)
        cluster.run(4_000)
        repeat(FAULTS) {
            injectFault(cluster)
            cluster.run(cluster.random.nextLong(2_000))
        }
        cluster.network.heal()
        cluster.nodes.values.forEach { if (it.process.isUp) it.process.resume() else it.start() }
        cluster.run(CONVERGENCE_MS)
        val found = cluster.violations + cluster.differences()
        return found.firstOrNull()?.let { "seed $seed: $it" }
    }

    private fun injectFault(cluster: SyncCluster) {
        val random = cluster.random
        val node = cluster.nodes.values.random(random)
        val other = cluster.nodes.values.random(random)
        val target =
            listOf(
                DrainTarget.Upstream(UpstreamId("u${random.nextInt(3)}")),
                DrainTarget.Domain(FailureDomain("a")),
                DrainTarget.Instance(cluster.ids[0]),
            ).random(random)
        when (random.nextInt(16)) {
            0 -> {
                node.kill()
            }

            1, 2 -> {
                node.restart()
            }

            3 -> {
                node.process.pause()
            }

            4 -> {
                cluster.nodes.values.forEach { it.process.resume() }
            }

            5 -> {
                cluster.network.cut(node.id, other.id)
            }

            6 -> {
                cluster.network.cutBoth(listOf(node.id), cluster.ids)
            }

            7 -> {
                cluster.network.cutBoth(
                    cluster.domain(node.domain.value),
                    cluster.ids - cluster.domain(node.domain.value).toSet(),
                )
            }

            8 -> {
                cluster.network.heal()
            }

            9 -> {
                cluster.network.lossRate = random.nextDouble(0.4)
            }

            10 -> {
                cluster.network.delayMs = 0L..random.nextLong(1, 2_000)
            }

            11 -> {
                node.process.jumpClock(random.nextLong(20_000)).also {
                    cluster.network.duplicationRate =
                        random.nextDouble(0.5)
                }
            }

            12, 13 -> {
                cluster.store.publish()
            }

            14 -> {
                if (node.process.isUp) cluster.drain(node, target)
            }

            else -> {
                if (node.process.isUp) cluster.drain(node, target, isDrained = false)
            }
        }
    }

    private companion object {
        const val SCHEDULES = 600L
        const val FAULTS = 20

        /** Two leases and an election of the coordinator, and then the time until a configuration must be in force. */
        const val CONVERGENCE_MS = 10_000L
    }
}
