package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Instances that place by themselves after the loss of the coordinator, while engines prefill long prompts that other instances
 * have sent. Without the list of busy engines, short prompts waited there for 0.5 to 0.9 s with a target of 0.3 s.
 */
class BusyUpstreamsSpec {
    private val coordinator = PlacingFixture(ENGINES)
    private val instances = List(INSTANCES) { PlacingFixture(ENGINES, spreadSeed = it) }

    /** Places a long prompt at the coordinator and returns the engines that prefill parts of it. */
    private fun placeLong(): Set<UpstreamId> {
        val granted = coordinator.granted(coordinator.long())
        return granted.helpers.map { it.upstream }.toSet() + granted.upstream
    }

    private fun placeShort(): List<UpstreamId> =
        instances.flatMap { instance -> List(PROMPTS) { instance.granted(instance.short()).upstream } }

    @Nested
    inner class WithoutCoordinator {
        @Test
        fun `short prompts stay off engines that prefill the long prompts of others`() {
            val busy = placeLong()
            assertTrue(placeShort().any { it in busy }, "the load shows nothing: no prompt meets a busy engine anyway")
            instances.forEach { it.placer.setBusyUpstreams(coordinator.placer.busyUpstreams(it.nowMs), it.nowMs) }
            assertEquals(emptyList(), placeShort().filter { it in busy })
        }

        @Test
        fun `a list that is out of date keeps no engine idle`() {
            val busy = placeLong()
            instances.forEach {
                it.placer.setBusyUpstreams(coordinator.placer.busyUpstreams(it.nowMs), it.nowMs)
                it.nowMs += LONGER_THAN_ANY_PREFILL_MS
            }
            assertTrue(placeShort().any { it in busy })
        }

        @Test
        fun `prompts are placed although all engines are said to be busy for ten times too long`() {
            val all = List(ENGINES) { BusyUpstream(UpstreamId("engine-$it"), LONGER_THAN_ANY_PREFILL_MS) }
            instances.forEach { it.placer.setBusyUpstreams(all, it.nowMs) }
            assertEquals(INSTANCES * PROMPTS, placeShort().size)
        }
    }

    @Nested
    inner class Coordinators {
        @Test
        fun `name no engines whose prefill is done or short`() {
            coordinator.granted(coordinator.short())
            assertEquals(emptyList(), coordinator.placer.busyUpstreams(coordinator.nowMs))
            placeLong()
            coordinator.nowMs += LONGER_THAN_ANY_PREFILL_MS
            assertEquals(emptyList(), coordinator.placer.busyUpstreams(coordinator.nowMs))
        }

        @Test
        fun `a successor that knows nothing replaces the list of the one before`() {
            val busy = placeLong()
            instances.forEach {
                it.placer.setBusyUpstreams(coordinator.placer.busyUpstreams(it.nowMs), it.nowMs)
                it.placer.setBusyUpstreams(emptyList(), it.nowMs)
            }
            assertTrue(placeShort().any { it in busy })
        }
    }

    private companion object {
        const val ENGINES = 12
        const val INSTANCES = 6
        const val PROMPTS = 4
        const val LONGER_THAN_ANY_PREFILL_MS = 20_000L
    }
}
