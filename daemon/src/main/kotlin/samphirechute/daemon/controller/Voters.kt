package samphirechute.daemon.controller

import samphirechute.core.settings.DaemonSettings
import samphirechute.core.settings.PeerSettings

/**
 * The voters of the own failure domain: those with a disk first, then by name, up to [MAX_VOTERS]. The holder renews
 * its lease with each voter, so their number bounds its traffic; all instances must come to the same voters.
 */
internal fun votersOf(settings: DaemonSettings): List<PeerSettings> =
    (settings.peers + settings.self)
        .distinctBy { it.instance }
        .filter { it.failureDomain == settings.failureDomain }
        .sortedWith(compareBy({ !it.isStore }, { it.instance }))
        .take(MAX_VOTERS)

/** Three of seven may be lost at once, as with two of the five that a failure domain has today. */
internal const val MAX_VOTERS = 7
