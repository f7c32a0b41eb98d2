package samphirechute.daemon

import samphirechute.core.settings.DaemonSettings
import samphirechute.core.timeline.EventRing
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.state.command.Claimant

/** What every part of one daemon shares. All of it is confined to the loop. */
internal class Runtime(
    val settings: DaemonSettings,
    val loop: EventLoop,
    val client: HttpClient,
    val ring: EventRing,
    /** Wall time of the start in milliseconds, so a later life of an instance has a higher one. */
    val incarnation: Long,
) {
    val timer = loop.timer
    val nowMs: Long get() = timer.nowMs()
    val self = settings.instance
    val claimant = Claimant(self, incarnation)
}
