package samphirechute.serving.relay

import samphirechute.core.time.TimerService
import samphirechute.net.HttpClient
import samphirechute.routing.flow.RetryBudget
import samphirechute.serving.cluster.ServingSettings
import samphirechute.serving.cluster.UpstreamNotices
import samphirechute.serving.placement.PlaceClient

/** The services that all relayed requests of one entry instance share. */
internal class RelayContext(
    val settings: ServingSettings,
    val timer: TimerService,
    val client: HttpClient,
    val placementClient: PlaceClient,
    val protocol: RelayProtocol,
    val budget: RetryBudget,
    val notices: UpstreamNotices,
    val log: RequestLog,
)
