package samphirechute.daemon.controller

import samphirechute.core.settings.DaemonSettings
import samphirechute.core.settings.PeerSettings

/**
 * The voters in the lease election of this failure domain: instances with a store disk first, then by name, up to
 * [MAX_VOTERS]. The holder renews its lease with each voter, so the limit bounds its traffic. The order is fixed
 * because all instances must select the same voters.
 */
internal fun votersOf(settings: DaemonSettings): List<PeerSettings> =
    (settings.peers + settings.self)
        .distinctBy { it.instance }
        .filter { it.failureDomain == settings.failureDomain }
        .sortedWith(compareBy({ !it.isStore }, { it.instance }))
        .take(MAX_VOTERS)

/** Seven voters tolerate the loss of three at once; the five that a failure domain has today tolerate two. */
internal const val MAX_VOTERS = 7
