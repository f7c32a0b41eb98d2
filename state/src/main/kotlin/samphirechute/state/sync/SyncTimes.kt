package samphirechute.state.sync

internal const val COORDINATOR_PERIOD_MS = 500L
internal const val RANDOM_PERIOD_MS = 1_000L

/** An exchange this recent, whoever began it, stands for the one that is due. */
internal const val RECENT_EXCHANGE_MS = 400L

/** An unanswered request counts as failed after this long, so that another path is tried within the period. */
internal const val ASK_TIMEOUT_MS = 450L

/** The longest wait of a starting instance for those it asked. */
internal const val READINESS_WAIT_MS = 3_000L

const val DIGEST_FRESH_MS = 3_000L

/** A member asks its coordinator for digests of this age, which leaves time for two lost exchanges. */
internal const val DIGEST_REFRESH_MS = 1_250L

/** Other peers are asked for a digest only when the coordinator has failed to give it. */
internal const val DIGEST_RELAY_MS = 2_000L

/** With 50 members their heartbeats go to each member once a second, which is about 0.8 KB. */
internal const val HEARTBEAT_MS_PER_ROW = 20L

const val SUSPECTED_MS = 3_000L
const val DEAD_MS = 6_000L

/** Reports older than this are not forwarded to a new coordinator; upstreams announce themselves each second. */
internal const val REPORT_FRESH_MS = 3_000L

/** How many instances one instance passes a change on to at once, besides coordinators. */
internal const val PUSH_FAN_OUT = 4

/** For this long after a change, it is passed on to more instances that are not known to have it. */
internal const val REPAIR_MS = 3_000L

/** How many of them in each period; with [PUSH_FAN_OUT] these reach 16 instances, which is every one of today. */
internal const val REPAIR_FAN_OUT = 2

/** A random peer that does not answer is replaced by another, this often in one period. */
internal const val SUBSTITUTES = 2
