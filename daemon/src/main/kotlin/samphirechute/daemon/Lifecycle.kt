package samphirechute.daemon

import samphirechute.core.api.Readiness
import samphirechute.core.settings.DaemonSettings
import samphirechute.daemon.controller.SyncController
import samphirechute.state.command.DrainTarget

/** Whether this instance takes requests: it is started, not drained, and not leaving. */
internal class Lifecycle(
    private val settings: DaemonSettings,
    private val sync: SyncController,
) {
    /** True from the moment a stop is asked for; the balancer is told so. */
    var isLeaving = false

    /** True when new requests are refused, some time after the balancer was told. */
    var isRefusing = false

    val readiness: Readiness
        get() =
            when {
                isLeaving -> Readiness.LEAVING
                sync.isReady && !isDrained() -> Readiness.READY
                else -> Readiness.STARTING
            }

    /** Why the balancer must send nothing here, or null. */
    fun notReadyReason(): String? =
        when {
            isLeaving -> "it is stopping"
            !sync.isReady -> "it is starting and has not learned the configuration in force"
            DrainTarget.Instance(settings.instance) in sync.drainedTargets -> "it is drained"
            DrainTarget.Domain(settings.failureDomain) in sync.drainedTargets -> "its failure domain is drained"
            else -> null
        }

    /** Why a request is refused, or null. A leaving instance goes on taking requests until the balancer has noticed. */
    fun refusalReason(): String? = if (isLeaving && !isRefusing && sync.isReady) null else notReadyReason()

    fun isDrained() =
        DrainTarget.Instance(settings.instance) in sync.drainedTargets ||
            DrainTarget.Domain(settings.failureDomain) in sync.drainedTargets
}
