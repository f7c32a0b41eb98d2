package samphirechute.routing.quarantine

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class TwoDeadlyPartsSpec : PromptScheduleFixture() {
    @Nested
    inner class Deadly {
        /** Guards against a quarantine of a first part under which engines end because of two others. */
        @Test
        fun `two of them behind one first part are both found`() =
            listOf(0.02, 0.1, 0.3).forEach { share ->
                val deadly = listOf("deadly-1", "deadly-2")
                SEEDS.forEach { seed ->
                    val fleet = PromptFleet(seed, prompt = mixed(share, { "first" }, deadly))
                    fleet.run(DAY_MS)
                    val wrong = fleet.quarantined().filter { parts -> parts.none { it.value in deadly } }
                    assertEquals(emptyList(), wrong, "share $share, seed $seed")
                    assertAdmitted(fleet, "share $share, seed $seed")
                    assertTrue(fleet.lateArrivals() <= 2 * ALLOWED, "share $share, seed $seed: ${fleet.lateArrivals()}")
                }
            }
    }

    private companion object {
        val SEEDS = 1..20
    }
}
