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
const val SUSPECTED_MS = 3_000L
const val DEAD_MS = 6_000L

/** Reports older than this are not forwarded to a new coordinator; upstreams announce themselves each second. */
internal const val REPORT_FRESH_MS = 3_000L

/** How many instances one instance passes a change on to, besides coordinators. */
internal const val PUSH_FAN_OUT = 4
