package samphirechute.serving

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.routing.placing.PlacementTarget
import samphirechute.routing.placing.Placer
import samphirechute.routing.placing.PoolProfile
import samphirechute.serving.cluster.PlacementReport
import samphirechute.serving.cluster.RunningPlacement
import samphirechute.serving.control.applyReport
import kotlin.test.Test
import kotlin.test.assertEquals

class PlacementReportsSpec {
    private val upstream = UpstreamId("u-1")
    private val instance = InstanceId("127.0.0.1:1")
    private val placer =
        Placer().apply {
            setPools(listOf(PoolProfile(SERVICE)))
            setUpstreams(
                listOf(PlacementTarget(upstream, SERVICE, HostPort("127.0.0.1", 2), FailureDomain("a"), slots = 4)),
            )
        }

    private fun request(name: String) =
        PlacementRequest(
            RequestId(name),
            instance,
            FailureDomain("a"),
            SERVICE,
            targetMs = 100,
            deadlineMs = 1_000,
        )

    private fun own(name: String) = RunningPlacement(request(name), upstream)

    private fun report(report: PlacementReport) = placer.applyReport(report, NOW_MS)

    @Nested
    inner class AfterACoordinatorWasSilent {
        /** Guards against engines that get more requests than they have slots after the coordinator has changed. */
        @Test
        fun `requests that an instance withdrew and then placed itself are counted`() {
            report(
                PlacementReport(
                    instance,
                    own = listOf(own("r-1"), own("r-2")),
                    withdrawn = listOf(RequestId("r-1")),
                    isWhole = true,
                ),
            )
            assertEquals(2, placer.runningOn(upstream))
        }

        @Test
        fun `a placement by the silent coordinator is replaced by the one where the request runs`() {
            placer.place(request("r-1"), NOW_MS)
            report(PlacementReport(instance, own = listOf(own("r-1")), withdrawn = listOf(RequestId("r-1"))))
            report(
                PlacementReport(
                    instance,
                    listOf(PlacementResult(RequestId("r-1"), upstream, PlacementOutcome.DONE, 10)),
                ),
            )
            assertEquals(0, placer.runningOn(upstream))
        }
    }

    private companion object {
        val SERVICE = ServiceName("desk")
        const val NOW_MS = 5_000L
    }
}
