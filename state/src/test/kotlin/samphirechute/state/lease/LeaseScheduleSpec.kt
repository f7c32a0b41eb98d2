package samphirechute.state.lease

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class LeaseScheduleSpec {
    @Nested
    inner class RandomSchedules {
        /**
         * Guards against two coordinators at once, an epoch that is used again, and a domain that stays without a
         * coordinator although a majority is connected.
         */
        @Test
        fun `never two holders, and progress when a majority is connected`() {
            val faults = (1L..SCHEDULES).mapNotNull { seed -> runSchedule(seed, null) }
            assertEquals(emptyList(), faults)
        }

        /** Guards against a check that cannot fail: each planted fault must be found by the same schedules. */
        @Test
        fun `the checks find each planted fault`() {
            for (planted in PlantedFault.entries) {
                val found = (1L..SCHEDULES).firstNotNullOfOrNull { runSchedule(it, planted) }
                assertNotNull(found, planted.name)
            }
        }
    }

    /** Runs one schedule and returns what was wrong, if anything was. */
    private fun runSchedule(
        seed: Long,
        planted: PlantedFault?,
    ): String? {
        val world = LeaseWorld(seed, size = listOf(1, 3, 3, 4, 5, 7)[(seed % 6).toInt()], planted, 0.98..1.02)
        world.run(3_000)
        repeat(FAULTS) {
            disturb(world)
            world.run(world.random.nextLong(1_500))
        }
        val majority = world.ids.shuffled(world.random).take(world.ids.size / 2 + 1)
        world.network.healLinks(majority)
        world.network.lossRate = 0.0
        world.network.duplicationRate = 0.0
        world.network.delayMs = 1L..5L
        for (id in majority) {
            if (world.isUp(id)) world.resume(id) else world.restart(id)
            world.give(id, LeaseInput.EligibilityChanged(true))
        }
        world.run(PROGRESS_MS)
        if (world.holders().isEmpty()) world.faults += "no holder $PROGRESS_MS ms after a majority was connected"
        return world.faults.firstOrNull()?.let { "seed $seed: $it" }
    }

    private fun disturb(world: LeaseWorld) {
        val random = world.random
        // Half of the faults hit the holder.
        val id = world.holders().firstOrNull().takeIf { random.nextBoolean() } ?: world.ids.random(random)
        val other = world.ids.random(random)
        when (random.nextInt(12)) {
            0 -> world.kill(id)
            1, 2 -> world.restart(id)
            3 -> world.pause(id)
            4 -> world.ids.forEach(world::resume)
            5 -> world.network.cut(id, other)
            6 -> world.network.cutBoth(listOf(id), world.ids)
            7 -> world.network.heal()
            8 -> world.network.lossRate = random.nextDouble(0.5)
            9 -> world.network.delayMs = 0L..random.nextLong(1, 3_000)
            10 -> world.jump(id, random.nextLong(5_000)).also { world.network.duplicationRate = random.nextDouble(0.5) }
            else -> world.give(id, LeaseInput.EligibilityChanged(random.nextBoolean()))
        }
    }

    private companion object {
        const val SCHEDULES = 5_000L
        const val FAULTS = 14

        /** Two votes for what was promised before, and one failed candidacy. */
        const val PROGRESS_MS = 6_000L
    }
}
