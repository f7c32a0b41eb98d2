package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.TeamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WorkQueueSpec {
    @Nested
    inner class Shares {
        /** Guards against a team that saves up a claim while it asks for nothing. */
        @Test
        fun `of a team that asked for nothing do not grow`() {
            val shares = TeamShares(burst = 100.0)
            repeat(1_000) { shares.charge(TeamName("large"), 50.0) }
            val ahead = shares.start(TeamName("large")) - shares.start(TeamName("new"))
            assertTrue(ahead <= 150.0, "$ahead")
        }
    }

    @Nested
    inner class ACorrection {
        private val correction = DrainCorrection()

        private fun play(
            share: Double,
            seconds: Int,
        ) = repeat(seconds * 10) {
            correction.observe(isWaiting = true, 5.0, it * 100L)
            correction.recordDrained(share * 500)
        }

        @Test
        fun `follows a queue that drains ten times slower or faster than predicted`() {
            play(share = 0.1, seconds = 20)
            assertTrue(correction.ratio() in 0.1..0.25, "${correction.ratio()}")
            val faster = ACorrection()
            faster.play(share = 10.0, seconds = 20)
            assertTrue(faster.correction.ratio() in 5.0..10.0, "${faster.correction.ratio()}")
        }

        /** Guards against a short stop of the queue that refuses everybody for long. */
        @Test
        fun `is bounded, and forgotten when nothing waits`() {
            play(share = 0.0, seconds = 60)
            assertTrue(correction.ratio() >= 0.1)
            correction.observe(isWaiting = false, 5.0, 60_000)
            correction.observe(isWaiting = false, 5.0, 90_000)
            assertEquals(1.0, correction.ratio(), 0.05)
        }
    }

    @Nested
    inner class Returns {
        private val returns = ReturnSchedule()

        /** Guards against callers that all come back at one moment, and urgent ones that come back after others. */
        @Test
        fun `are spread, between 300 ms and 3 s, and in order of priority`() {
            for (waitMs in listOf(0L, 800L, 20_000L)) {
                val nowMs = waitMs * 100
                val urgent = List(10) { returns.promise(1, waitMs, 50, nowMs) }
                val others = List(10) { returns.promise(5, waitMs, 50, nowMs) }
                assertTrue((urgent + others).all { it in 300..3_000 }, "$urgent $others")
                assertEquals(20, (urgent + others).toSet().size, "$urgent $others")
                assertTrue(urgent.max() < others.min(), "$urgent $others")
            }
        }
    }
}
