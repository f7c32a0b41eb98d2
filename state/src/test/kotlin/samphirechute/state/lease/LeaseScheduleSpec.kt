package samphirechute.state.lease

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class LeaseScheduleSpec {
    @Nested
    inner class RandomSchedules {
        /**
         * Guards against two coordinators at the same time, an epoch that is used twice, and a failure domain without a
         * coordinator although a majority is connected.
         */
        @Test
        fun `there are never two holders, and a connected majority elects one`() {
            val violations = (1L..SCHEDULES).mapNotNull { seed -> runSchedule(seed, null) }
            assertEquals(emptyList(), violations)
        }

        /** Guards against checks that cannot fail: the same schedules must detect each planted bug. */
        @Test
        fun `the checks detect each planted fault`() {
            for (planted in PlantedFault.entries) {
                val found = (1L..SCHEDULES).firstNotNullOfOrNull { runSchedule(it, planted) }
                assertNotNull(found, planted.name)
            }
        }
    }

    /** Runs one random schedule and returns the first violation, or null. */
    private fun runSchedule(
        seed: Long,
        planted: PlantedFault?,
    ): String? {
        val cluster = LeaseCluster(seed, size = listOf(1, 3, 3, 4, 5, 7)[(seed % 6).toInt()], planted, 0.98..1.02)
        cluster.run(3_000)
        repeat(FAULTS) {
            injectFault(cluster)
            cluster.run(cluster.random.nextLong(1_500))
        }
        val majority = cluster.ids.shuffled(cluster.random).take(cluster.ids.size / 2 + 1)
        cluster.network.healLinks(majority)
        cluster.network.lossRate = 0.0
        cluster.network.duplicationRate = 0.0
        cluster.network.delayMs = 1L..5L
        for (id in majority) {
            if (cluster.isUp(id)) cluster.resume(id) else cluster.restart(id)
            cluster.feed(id, LeaseInput.EligibilityChanged(true))
        }
        cluster.run(PROGRESS_MS)
        if (cluster.holders().isEmpty()) cluster.violations += "no holder $PROGRESS_MS ms after healing a majority"
        return cluster.violations.firstOrNull()?.let { "seed $seed: $it" }
    }

    private fun injectFault(cluster: LeaseCluster) {
        val random = cluster.random
        // Half of the faults are aimed at the holder.
        val id = cluster.holders().firstOrNull().takeIf { random.nextBoolean() } ?: cluster.ids.random(random)
        val other = cluster.ids.random(random)
        when (random.nextInt(12)) {
            0 -> {
                cluster.kill(id)
            }

            1, 2 -> {
                cluster.restart(id)
            }

            3 -> {
                cluster.pause(id)
            }

            4 -> {
                cluster.ids.forEach(cluster::resume)
            }

            5 -> {
                cluster.network.cut(id, other)
            }

            6 -> {
                cluster.network.cutBoth(listOf(id), cluster.ids)
            }

            7 -> {
                cluster.network.heal()
            }

            8 -> {
                cluster.network.lossRate = random.nextDouble(0.5)
            }

            9 -> {
                cluster.network.delayMs = 0L..random.nextLong(1, 3_000)
            }

            10 -> {
                cluster
                    .jumpClock(id, random.nextLong(5_000))
                    .also { cluster.network.duplicationRate = random.nextDouble(0.5) }
            }

            else -> {
                cluster.feed(id, LeaseInput.EligibilityChanged(random.nextBoolean()))
            }
        }
    }

    private companion object {
        const val SCHEDULES = 5_000L
        const val FAULTS = 14

        /** Two vote durations for votes given before the links were healed, and one failed candidacy. */
        const val PROGRESS_MS = 6_000L
    }
}
