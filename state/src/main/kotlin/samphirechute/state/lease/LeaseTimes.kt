package samphirechute.state.lease

/** How long a vote binds its voter, by the voter's clock. */
const val VOTE_MS = 2_000L

/** The holder stops this much before its votes end, which covers clock rate error and scheduling delay. */
const val LEASE_MARGIN_MS = 200L

const val RENEWAL_MS = 500L

internal const val MIN_CANDIDACY_DELAY_MS = 150L
internal const val MAX_CANDIDACY_DELAY_MS = 450L

/** The longest delay is doubled this often at most while candidates compete. */
internal const val MAX_DOUBLINGS = 2

/** A candidate without a majority after this long releases its votes, so that they do not block the next candidate. */
internal const val CAMPAIGN_MS = 300L
