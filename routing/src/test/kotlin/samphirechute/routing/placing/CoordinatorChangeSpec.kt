package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CoordinatorChangeSpec {
    private fun PlacingFixture.retain(running: List<PlacementRequest>) =
        placer.retain(PlacingFixture.INSTANCE, running.map { it.request }.toSet(), nowMs)

    @Nested
    inner class ACoordinatorThatBecomesLeaderAgain {
        /**
         * Guards against slots that stay occupied because the ends of requests were reported to another coordinator.
         */
        @Test
        fun `releases requests that its instances no longer run`() {
            val fixture = PlacingFixture(engines = 1)
            val running = fixture.short()
            val ended = fixture.short()
            val engine = fixture.granted(running).upstream
            fixture.nowMs += 100
            fixture.granted(ended)
            fixture.nowMs += 1_000
            fixture.retain(listOf(running))
            assertEquals(1, fixture.placer.runningOn(engine))
        }

        /** Guards against granting a slot twice, when the instance has not received the first grant yet. */
        @Test
        fun `keeps requests that it has just granted`() {
            val fixture = PlacingFixture(engines = 1)
            val engine = fixture.granted(fixture.short()).upstream
            fixture.nowMs += 10
            fixture.retain(emptyList())
            assertEquals(1, fixture.placer.runningOn(engine))
        }
    }

    @Nested
    inner class ACoordinatorThatHasJustStarted {
        private val fixture = PlacingFixture(engines = 3)

        private fun closeAll(isClosed: Boolean) = fixture.change { it.copy(isOpen = !isClosed) }

        /**
         * Guards against refusals in the second after a restart of the whole system, while upstreams announce
         * themselves one by one.
         */
        @Test
        fun `lets requests wait for upstreams to announce themselves`() {
            closeAll(true)
            fixture.placer.isLearning = true
            repeat(40) { assertNull(fixture.place(fixture.short())) }
            closeAll(false)
            fixture.nowMs += 500
            val decisions = fixture.placer.tick(fixture.nowMs)
            assertTrue(decisions.isNotEmpty() && decisions.all { it.placement is Placement.Granted }, "$decisions")
        }

        @Test
        fun `refuses at once when all upstreams are known to be closed`() {
            closeAll(true)
            assertIs<Placement.Refused>(fixture.place(fixture.short()))
        }
    }

    @Nested
    inner class InstancesThatAreGone {
        @Test
        fun `have their requests released`() {
            val fixture = PlacingFixture(engines = 1)
            val engine = fixture.granted(fixture.short()).upstream
            fixture.placer.forget({ false }, fixture.nowMs)
            assertEquals(1, fixture.placer.runningOn(engine))
            fixture.placer.forget({ it == PlacingFixture.INSTANCE }, fixture.nowMs)
            assertEquals(0, fixture.placer.runningOn(engine))
        }
    }
}
