package samphirechute.state.sync

/** How often an instance exchanges with the coordinator of its failure domain. */
internal const val COORDINATOR_PERIOD_MS = 500L

/** How often an instance exchanges with any peer. */
internal const val RANDOM_PERIOD_MS = 1_000L

/** An exchange this recent, whichever side started it, replaces one that is due. */
internal const val RECENT_EXCHANGE_MS = 400L

/** A request without an answer fails after this time, so that another path is tried within the same period. */
internal const val REQUEST_TIMEOUT_MS = 450L

/** How long a starting instance waits at most for the peers that it asked. */
internal const val READINESS_WAIT_MS = 3_000L

/** Digests of this age are dropped. */
const val DIGEST_FRESH_MS = 3_000L

/** An instance asks its coordinator for newer digests at this age, which leaves time for two lost exchanges. */
internal const val DIGEST_REFRESH_MS = 1_250L

/** Other peers are asked for a newer digest only at this age, when the coordinator has failed to send one. */
internal const val DIGEST_RELAY_MS = 2_000L

/**
 * The time between two requests for heartbeats, per member. With 50 members an instance requests them once a second,
 * which is about 0.8 KB.
 */
internal const val HEARTBEAT_MS_PER_ROW = 15L

/**
 * A request to the coordinator contains the heartbeats that are at least this far ahead of those that it sent. With two
 * to four heartbeats a second, this is the advance of 1.5 to 3 s.
 */
internal const val MIN_HEARTBEAT_ADVANCE = 6L

/** Large digests are requested later, to stay within this rate, but never later than [DIGEST_RELAY_MS]. */
internal const val DIGEST_BYTES_PER_MS = 2.5

/** A member whose heartbeat has not advanced for this long is suspected. */
const val SUSPECTED_MS = 3_000L

/** A member whose heartbeat has not advanced for this long is dead. */
const val DEAD_MS = 6_000L

/** Older reports are not forwarded to a new coordinator. Upstreams announce themselves every second. */
internal const val REPORT_FRESH_MS = 3_000L

/** To how many instances, besides coordinators, an instance sends a change at once. */
internal const val PUSH_FAN_OUT = 4

/** How long after a change it is still sent to instances that are not known to have it. */
internal const val REPAIR_MS = 3_000L

/** To how many of them in each period. With [PUSH_FAN_OUT] these reach 16 instances, which is every one of today. */
internal const val REPAIR_FAN_OUT = 2

/** How often in one period a random peer that does not answer is replaced by another peer. */
internal const val MAX_SUBSTITUTES = 2
