package samphirechute.serving.relay

import samphirechute.core.time.TimerService
import samphirechute.net.HttpClient
import samphirechute.routing.flow.RetryBudget
import samphirechute.serving.cluster.LimitRegistry
import samphirechute.serving.cluster.QuarantineRegistry
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamAvailability
import samphirechute.serving.placement.PlacementClient

/** The services that all relayed requests of one entry instance share. */
internal class RelayContext(
    val settings: ServingSettings,
    val timer: TimerService,
    val client: HttpClient,
    val placementClient: PlacementClient,
    val protocol: RelayProtocol,
    val budget: RetryBudget,
    val availability: UpstreamAvailability,
    val limits: LimitRegistry,
    val quarantine: QuarantineRegistry,
    val log: RequestLog,
    val heads: StreamHeads = StreamHeads(),
)
