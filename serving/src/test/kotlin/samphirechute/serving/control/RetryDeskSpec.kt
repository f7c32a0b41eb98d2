package samphirechute.serving.control

import io.prometheus.metrics.model.registry.PrometheusRegistry
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.RefusedReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RetryDeskSpec {
    private val timer = VirtualTimer(startMs = 10_000)
    private var term: Long? = 1
    private var isUnused = true
    private val desk = RetryDesk(retryFloor = 2, timer, { term }, { isUnused }, PrometheusRegistry())
    private val granted = Placement.Granted(UpstreamId("u"), HostPort("127.0.0.1", 1))

    private fun request(
        id: String,
        needsRetryGrant: Boolean = true,
    ) = PlacementRequest(
        RequestId(id),
        InstanceId("127.0.0.1:2"),
        FailureDomain("a"),
        ServiceName("s"),
        promptTokens = 300_000,
        targetMs = 300,
        deadlineMs = 10_000,
        needsRetryGrant = needsRetryGrant,
    )

    private fun refusal(id: String) = desk.refuse(request(id))?.reason

    /** Guards against first requests that use up the budget of retries, or that are refused for it. */
    @Test
    fun `a request that is no retry needs nothing`() {
        term = null
        val first = request("a", needsRetryGrant = false)
        assertNull(desk.refuse(first))
        assertEquals(granted, desk.settle(first, granted))
    }

    /** Guards against a part that is used up by retries that were never placed. */
    @Test
    fun `a retry counts once it is placed, and not if its placement is refused or withdrawn`() {
        assertNull(refusal("a"))
        assertEquals(RefusedReason.RETRY_BUDGET, refusal("b"))
        desk.settle(request("a"), Placement.Refused(RefusedReason.OVERLOADED, 300))
        assertNull(refusal("b"))
        desk.withdraw(RequestId("b"))
        assertNull(refusal("c"))
        assertEquals(granted.copy(hasRetryGrant = true), desk.settle(request("c"), granted))
        assertNotNull(refusal("d"))
    }

    /** Guards against two coordinators, or a coordinator in a part that is cut off, that both grant the whole part. */
    @Test
    fun `an instance that does not lead, or has led for a short time in a used system, grants nothing`() {
        isUnused = false
        assertNotNull(refusal("a"))
        term = null
        timer.advanceBy(20_000)
        assertNotNull(refusal("a"))
        term = 2
        assertNotNull(refusal("a"))
        timer.advanceBy(11_000)
        assertNull(refusal("a"))
    }
}
