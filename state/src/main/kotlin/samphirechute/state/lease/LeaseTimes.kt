package samphirechute.state.lease

/** How long a vote binds its voter, by the clock of the voter. */
const val VOTE_MS = 2_000L

/** How long before the end of its votes the holder stops. Covers clocks of unequal rate and scheduling delays. */
const val LEASE_MARGIN_MS = 200L

/** How often the holder renews its votes. A vote lasts for four renewals. */
const val LEASE_RENEWAL_MS = 500L

/** Limits of the random delay before a candidacy. */
internal const val MIN_CANDIDACY_DELAY_MS = 150L
internal const val MAX_CANDIDACY_DELAY_MS = 450L

/** How often [MAX_CANDIDACY_DELAY_MS] is doubled at most while candidates compete. */
internal const val MAX_DELAY_DOUBLINGS = 2

/** A candidate without a majority after this time releases its votes, so that they do not block the next candidate. */
internal const val CANDIDACY_MS = 300L
