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
         * Guards against a revision that goes back, a set that differs from the published one, a drain without an
         * order, a return without a committed undrain, and differences that stay after the faults are healed.
         */
        @Test
        fun `no revert, no drain without an order, and convergence after healing`() {
            assertEquals(emptyList(), (1L..SCHEDULES).mapNotNull { runSchedule(it, null) })
        }

        /** Guards against a check that cannot fail: each planted fault must be found by the same schedules. */
        @Test
        fun `the checks find each planted fault`() {
            for (planted in PlantedSyncFault.entries) {
                assertNotNull((1L..SCHEDULES).firstNotNullOfOrNull { runSchedule(it, planted) }, planted.name)
            }
        }
    }

    private fun runSchedule(
        seed: Long,
        planted: PlantedSyncFault?,
    ): String? {
        val world = SyncWorld(seed, planted = planted)
        world.run(4_000)
        repeat(FAULTS) {
            disturb(world)
            world.run(world.random.nextLong(2_000))
        }
        world.network.heal()
        world.nodes.values.forEach { if (it.process.isUp) it.process.resume() else it.start() }
        world.run(CONVERGENCE_MS)
        val found = world.faults + world.differences()
        return found.firstOrNull()?.let { "seed $seed: $it" }
    }

    private fun disturb(world: SyncWorld) {
        val random = world.random
        val node = world.nodes.values.random(random)
        val other = world.nodes.values.random(random)
        val target =
            listOf(
                DrainTarget.Upstream(UpstreamId("u${random.nextInt(3)}")),
                DrainTarget.Domain(FailureDomain("a")),
                DrainTarget.Instance(world.ids[0]),
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
                world.nodes.values.forEach { it.process.resume() }
            }

            5 -> {
                world.network.cut(node.id, other.id)
            }

            6 -> {
                world.network.cutBoth(listOf(node.id), world.ids)
            }

            7 -> {
                world.network.cutBoth(
                    world.domain(node.domain.value),
                    world.ids - world.domain(node.domain.value).toSet(),
                )
            }

            8 -> {
                world.network.heal()
            }

            9 -> {
                world.network.lossRate = random.nextDouble(0.4)
            }

            10 -> {
                world.network.delayMs = 0L..random.nextLong(1, 2_000)
            }

            11 -> {
                node.process.jumpClock(random.nextLong(20_000)).also {
                    world.network.duplicationRate =
                        random.nextDouble(0.5)
                }
            }

            12, 13 -> {
                world.store.publish()
            }

            14 -> {
                if (node.process.isUp) world.drain(node, target)
            }

            else -> {
                if (node.process.isUp) world.drain(node, target, isDrained = false)
            }
        }
    }

    private companion object {
        const val SCHEDULES = 600L
        const val FAULTS = 20

        /** Two leases and an election for the coordinator, then the time in which a configuration must be in force. */
        const val CONVERGENCE_MS = 10_000L
    }
}
