package samphirechute.routing.flow

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryGrantsSpec {
    private val coordinator = RetryGrants(RetryParts.ofCoordinator(FLOOR)).apply { setLeading(1, isFirst = true, 0) }
    private val instances = List(INSTANCES) { instance() }
    private var nextRequest = 0

    private fun instance() = RetryBudget(keptShare = RetryParts.KEPT_SHARE) { RetryParts.ofInstance(FLOOR, INSTANCES) }

    /** Retries once at an instance, with its own part or else with that of [from], if there is one. */
    private fun retry(
        instance: RetryBudget,
        from: RetryGrants?,
        nowMs: Long,
        isCostly: Boolean = false,
    ): Boolean {
        val id = RequestId("r-${nextRequest++}")
        return instance.tryAcquire(nowMs, isCostly) ||
            (from != null && from.promise(id, isCostly, nowMs + 1_000, nowMs) && from.settle(id, nowMs))
    }

    private fun retries(
        count: Int,
        instance: RetryBudget,
        from: RetryGrants?,
        nowMs: Long,
        isCostly: Boolean = false,
    ) = (1..count).count { retry(instance, from, nowMs, isCostly) }

    @Nested
    inner class Need {
        /** Guards against a long prompt that is given up while the other instances have retries that they do not need. */
        @Test
        fun `of one instance is met from the coordinator's part`() {
            val alone = RetryBudget { FLOOR / INSTANCES }
            assertEquals(7, retries(FLOOR, alone, null, 0, isCostly = true))
            assertEquals(3 + 59, retries(FLOOR, instances[0], coordinator, 0, isCostly = true))
        }

        /** Guards against a retry storm: more retries in ten seconds than all instances together may make. */
        @Test
        fun `of all instances stays within the floor and a tenth of the successes`() {
            repeat(100) { instances[0].recordSuccess(0) }
            val nowMs = 5_000L
            val used =
                instances.withIndex().sumOf { (index, it) ->
                    retries(10 * index + 50, it, coordinator, nowMs, true)
                }
            assertTrue(used in FLOOR - INSTANCES..FLOOR + 10, "used $used")
            assertEquals(0, instances.sumOf { retries(1, it, coordinator, nowMs + 9_999, true) })
        }

        /** Guards against cheap retries that use up what the costly ones need in the same seconds. */
        @Test
        fun `of costly requests is met after many cheap ones`() {
            repeat(FLOOR) { retry(instances[it % INSTANCES], coordinator, 0) }
            assertTrue(retry(instances[0], coordinator, 0, isCostly = true))
            assertFalse(retry(instances[0], coordinator, 0, isCostly = false))
        }

        /** Guards against instances that may not retry at all while no coordinator answers. */
        @Test
        fun `is met from the own part without a coordinator`() {
            assertEquals(INSTANCES * 3, instances.sumOf { retries(FLOOR, it, null, 0, isCostly = true) })
        }
    }

    @Nested
    inner class Successor {
        /** Guards against two coordinators that each grant the whole part within ten seconds. */
        @Test
        fun `of a coordinator that died with grants out grants nothing for one window`() {
            assertEquals(62, retries(FLOOR, instances[0], coordinator, 0, isCostly = true))
            val successor = RetryGrants(RetryParts.ofCoordinator(FLOOR)).apply { setLeading(2, isFirst = false, 100) }
            assertEquals(0, retries(FLOOR, instances[0], successor, 9_999, isCostly = true))
            assertEquals(62, retries(FLOOR, instances[0], successor, 11_100, isCostly = true))
        }

        /** Guards against a coordinator that lost the leadership for a while, in which another one granted. */
        @Test
        fun `that led before grants nothing for one window, and nothing while it does not lead`() {
            coordinator.setLeading(null, isFirst = false, 1_000)
            assertEquals(3, retries(FLOOR, instance(), coordinator, 60_000, isCostly = true))
            coordinator.setLeading(3, isFirst = false, 60_000)
            assertEquals(3, retries(FLOOR, instance(), coordinator, 70_999, isCostly = true))
            assertEquals(62, retries(FLOOR, instance(), coordinator, 71_000, isCostly = true))
        }
    }

    @Nested
    inner class Promise {
        /** Guards against a retry that waited for its placement and is counted in a window that is over. */
        @Test
        fun `counts from the placement on`() {
            val id = RequestId("a")
            assertTrue(coordinator.promise(id, true, untilMs = 20_000, nowMs = 0))
            assertTrue(coordinator.settle(id, nowMs = 15_000))
            assertEquals(58, coordinator.left(25_000))
            assertEquals(59, coordinator.left(26_000))
        }

        /** Guards against promises that outlive their request, as after a withdrawal that is late or lost. */
        @Test
        fun `ends when it is given back, and at the latest with the time of its request`() {
            val ids = List(59) { RequestId("p-$it") }
            ids.forEach { assertTrue(coordinator.promise(it, true, untilMs = 500, nowMs = 0)) }
            assertFalse(coordinator.promise(RequestId("b"), true, 500, 0))
            coordinator.giveBack(ids[0])
            assertTrue(coordinator.promise(RequestId("b"), true, 500, 0))
            assertFalse(coordinator.settle(ids[1], 500), "settled too late")
            assertFalse(coordinator.settle(ids[0], 100), "settled after it was given back")
            assertTrue(coordinator.promise(RequestId("c"), true, 900, 500))
        }
    }

    private companion object {
        const val FLOOR = 117
        const val INSTANCES = 15
    }
}
