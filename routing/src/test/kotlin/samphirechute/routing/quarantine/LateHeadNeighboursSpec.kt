package samphirechute.routing.quarantine

import org.junit.jupiter.api.Nested
import kotlin.test.Test

/** Sound streams on the days of [LateHeadScheduleSpec], on which all engines send the head with the first event. */
internal class LateHeadNeighboursSpec : DeadlyRequestDays() {
    @Nested
    inner class Served {
        @Test
        fun `beside one such request`() = everyLateHeadDay("all", { true }, isServed = true)
    }
}
