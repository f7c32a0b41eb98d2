package samphirechute.routing.placing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.limit.UpstreamLimits

/** A [Placer] with engines and requests of one service, at times that the test sets. */
internal class PlacingFixture(
    engines: Int,
    spreadSeed: Int? = null,
    /** The number of instances that place by themselves. */
    instances: Int = 1,
    limits: UpstreamLimits = UpstreamLimits { instances },
    policy: PlacingPolicy = PlacingPolicy(),
) {
    val placer = Placer(spreadSeed, limits, policy = policy)
    var nowMs = 1_000L
    private var nextRequest = 0
    private var upstreams = (0 until engines).map(::engine)

    init {
        placer.setPools(listOf(PoolProfile(SERVICE, PROFILE, coldRequestsPerS = COLD_PER_S)))
        placer.setUpstreams(upstreams)
    }

    fun change(transform: (PlacementTarget) -> PlacementTarget) {
        upstreams = upstreams.map(transform)
        placer.setUpstreams(upstreams)
    }

    fun short(
        excluded: Set<UpstreamId> = emptySet(),
        deadlineMs: Long = 10_000,
    ) = request(5_000, 1_600, 300, 200, excluded, deadlineMs)

    fun medium() = request(45_000, 960, 1_500, 500)

    fun long(promptTokens: Long = 210_000) = request(promptTokens, 780, 3_000, 800, deadlineMs = 15_000)

    fun place(request: PlacementRequest): Placement? = placer.place(request, nowMs)

    fun granted(request: PlacementRequest) = place(request) as Placement.Granted

    fun end(
        request: PlacementRequest,
        upstream: UpstreamId,
        outcome: PlacementOutcome = PlacementOutcome.DONE,
    ) = placer.reportEnd(PlacementResult(request.request, upstream, outcome, 100), nowMs)

    /** Reports that a request from the first failure domain could not connect to [upstream]. */
    fun unreachable(upstream: UpstreamId) {
        val request = short()
        val result =
            PlacementResult(request.request, upstream, PlacementOutcome.UNREACHABLE, null, FailureDomain("domain-0"))
        placer.reportEnd(result, nowMs)
    }

    private fun request(
        promptTokens: Long,
        answerTokens: Long,
        targetMs: Long,
        gapMs: Long,
        excluded: Set<UpstreamId> = emptySet(),
        deadlineMs: Long = 10_000,
    ) = PlacementRequest(
        RequestId("r-${nextRequest++}"),
        INSTANCE,
        FailureDomain("domain-0"),
        SERVICE,
        promptTokens = promptTokens,
        answerTokens = answerTokens,
        targetMs = targetMs,
        targetGapMs = gapMs,
        deadlineMs = deadlineMs,
        excluded = excluded,
    )

    private fun engine(index: Int) =
        PlacementTarget(
            UpstreamId("engine-$index"),
            SERVICE,
            HostPort("10.0.0.$index", 8080),
            FailureDomain("domain-${index % DOMAINS}"),
            SLOTS,
        )

    companion object {
        const val SLOTS = 11
        val INSTANCE = InstanceId("127.0.0.1:1")
        const val COLD_PER_S = 38.0
        private const val DOMAINS = 3
        val SERVICE = ServiceName("drafts")

        /** The engines of the users' deployments, with the values of their configuration. */
        val PROFILE = EngineProfile(SLOTS, 450_000, 46, 0.925, 0.007, 0.00254, 256.0, 0.0917, 2_048, 0.1)
    }
}
