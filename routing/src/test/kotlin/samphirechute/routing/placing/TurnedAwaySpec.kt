package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Tests upstreams that are full for a while and turn away one of several instances. */
class TurnedAwaySpec {
    private val placer =
        Placer().apply {
            setPools(listOf(PoolProfile(SERVICE)))
            setUpstreams(listOf(upstream("u-1", 1), upstream("u-2", 2)))
        }
    private var number = 0

    private fun upstream(
        id: String,
        port: Int,
    ) = PlacementTarget(UpstreamId(id), SERVICE, HostPort("127.0.0.1", port), FailureDomain("a"), slots = 100)

    private fun place(
        instance: InstanceId,
        nowMs: Long,
    ): Placement? {
        val id = RequestId("r-${number++}")
        val request = PlacementRequest(id, instance, FailureDomain("a"), SERVICE, targetMs = 100, deadlineMs = 1_000)
        return placer.place(request, nowMs)
    }

    private fun turnAway(
        id: String,
        forMs: Long,
        nowMs: Long,
    ) = placer.reportEnd(
        PlacementResult(
            RequestId("turned-away"),
            UpstreamId(id),
            PlacementOutcome.REFUSED,
            turnedAway = TurnedAway(ONE, forMs),
        ),
        nowMs,
    )

    private fun used(
        instance: InstanceId,
        nowMs: Long,
    ) = (1..6).map { assertIs<Placement.Granted>(place(instance, nowMs)).upstream.value }.toSet()

    @Nested
    inner class OneUpstream {
        @Test
        fun `gets no requests of the instance that it turned away until the time has passed`() {
            turnAway("u-1", forMs = 5_000, nowMs = 0)
            assertEquals(setOf("u-2"), used(ONE, 4_999))
            // The other upstream has all previous requests, so this one is the least loaded.
            assertEquals(setOf("u-1"), used(ONE, 5_000))
        }

        @Test
        fun `still gets the requests of other instances`() {
            turnAway("u-1", forMs = 5_000, nowMs = 0)
            assertEquals(setOf("u-1", "u-2"), used(InstanceId("other"), 1_000))
        }
    }

    @Nested
    inner class AllUpstreams {
        /** Guards callers against waiting for an upstream that is known to accept no requests. */
        @Test
        fun `lead to an immediate refusal with the time after which the first accepts requests again`() {
            turnAway("u-1", forMs = 2_000, nowMs = 0)
            turnAway("u-2", forMs = 1_500, nowMs = 0)
            val refused = assertIs<Placement.Refused>(place(ONE, 500))
            assertEquals(Placement.Refused(RefusedReason.TURNED_AWAY, 1_000), refused)
        }
    }

    private companion object {
        val SERVICE = ServiceName("desk")
        val ONE = InstanceId("one")
    }
}
