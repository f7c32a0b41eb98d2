package samphirechute.daemon.caller

import samphirechute.daemon.Runtime
import samphirechute.daemon.controller.ClaimController
import samphirechute.daemon.controller.GrantController
import samphirechute.daemon.metrics.RequestMetrics
import samphirechute.routing.flow.RetryBudget
import samphirechute.routing.flow.UpstreamHealth

/** The controllers, metrics and state that all requests of one instance share. */
internal class RequestDependencies(
    val runtime: Runtime,
    val grants: GrantController,
    val claims: ClaimController,
    val metrics: RequestMetrics,
) {
    val budget = RetryBudget()
    val health = UpstreamHealth()
}
