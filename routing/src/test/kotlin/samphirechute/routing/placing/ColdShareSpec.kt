package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertTrue

class ColdShareSpec {
    @Nested
    inner class InstancesThatPlaceByThemselves {
        /** Guards a cold upstream against the full rate of each of the instances that have no coordinator. */
        @Test
        fun `together grant no more requests within a second than a cold upstream can serve`() {
            val fixtures = List(INSTANCES) { PlacingFixture(engines = 1, spreadSeed = it, instances = INSTANCES) }
            var granted = 0
            repeat(STEPS) {
                for (fixture in fixtures) {
                    fixture.nowMs += STEP_MS
                    val request = fixture.short()
                    if (fixture.place(request) !is Placement.Granted) continue
                    granted++
                    fixture.end(request, UpstreamId("engine-0"), PlacementOutcome.CANCELLED)
                }
            }
            assertTrue(granted <= PlacingFixture.COLD_PER_S, "granted $granted")
        }
    }

    private companion object {
        const val INSTANCES = 15
        const val STEPS = 100

        /** The steps take less than a second together. */
        const val STEP_MS = 9L
    }
}
