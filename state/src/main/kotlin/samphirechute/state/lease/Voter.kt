package samphirechute.state.lease

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock

/**
 * The voting side of the lease, owned by [DomainLease]. At most one vote is in force at any time.
 *
 * The duration of a vote is measured with a [SteppedClock], which never runs ahead: a vote that ends late is safe, one
 * that ends early is not. It also remembers the holder that messages named, for [DomainLease.holder] and for refusals.
 */
internal class Voter(
    private val settings: LeaseSettings,
) {
    private val clock = SteppedClock()
    private var vote: LeaseHolder? = null
    private var voteUntilMs = 0L
    private var lastRound = 0L
    private val released = mutableMapOf<InstanceId, LeaseHolder>()
    private var known: LeaseHolder? = null
    private var knownUntilMs = 0L

    var highestEpoch = settings.incarnation
        private set

    /** True when no vote is in force and the wait of [VOTE_MS] after the start is over. */
    val isFree: Boolean get() = clockMs >= VOTE_MS && (vote == null || clockMs >= voteUntilMs)

    /** The holder of the lease as far as this voter knows, until the time for which it was known has passed. */
    val knownHolder: LeaseHolder? get() = known?.takeIf { clockMs < knownUntilMs }

    private val clockMs: Long get() = clock.elapsedMs

    fun advance(nowMs: Long) = clock.advance(nowMs)

    fun observeEpoch(epoch: Long) {
        highestEpoch = maxOf(highestEpoch, epoch)
    }

    fun onProbe(probe: LeaseMessage.Probe) =
        answer(probe.candidate, probe.round, isAllowed(probe.candidate, isHolding = false), true)

    fun onVoteRequest(request: LeaseMessage.VoteRequest): LeaseMessage.Vote {
        val isGranted = isAllowed(request.candidate, request.isHolding)
        if (isGranted) {
            val isRepeat = vote == request.candidate && request.round <= lastRound && clockMs < voteUntilMs
            // A request that was delivered twice or out of order is answered, but does not extend the vote.
            if (!isRepeat) {
                voteUntilMs = clockMs + VOTE_MS
                lastRound = request.round
            }
            vote = request.candidate
            observeEpoch(request.candidate.epoch)
        }
        // A voter that refuses, for example because it has just started, still learns who the holder is.
        if (request.isHolding && !isReleased(request.candidate)) learnHolder(request.candidate, VOTE_MS)
        return answer(request.candidate, request.round, isGranted, false)
    }

    /** Returns true when the release ended the vote of this voter or the holder that it knew. */
    fun onRelease(released: LeaseHolder): Boolean {
        observeEpoch(released.epoch)
        if (!isReleased(released)) this.released[released.instance] = released
        val isVoteFreed = vote?.isReleasedBy(released) == true
        if (isVoteFreed) vote = null
        val isKnownReleased = knownHolder?.isReleasedBy(released) == true
        if (isKnownReleased) known = null
        return isVoteFreed || isKnownReleased
    }

    /** Remembers [holder] for [remainingMs], unless a holder with a higher epoch is known. */
    fun learnHolder(
        holder: LeaseHolder,
        remainingMs: Long,
    ) {
        val current = knownHolder
        if (current != null && current.epoch > holder.epoch) return
        known = holder
        knownUntilMs = clockMs + remainingMs.coerceAtMost(VOTE_MS)
    }

    /**
     * Whether this voter may vote for [candidate] now. The wait after the start and the vote in force come first: they
     * rule out a second holder at the same time. The epoch rules that follow keep an epoch from being used twice.
     */
    private fun isAllowed(
        candidate: LeaseHolder,
        isHolding: Boolean,
    ): Boolean {
        if (clockMs < VOTE_MS || isReleased(candidate)) return false
        val current = vote
        val isSame = current != null && current.isSameProcess(candidate)
        if (!isFree && !isSame) return false
        // A candidate that lost may have used the epoch of the holder. The holder may still renew with it, since
        // only one candidate can have won an epoch.
        val isWonEpoch = isHolding && candidate.epoch == highestEpoch
        return candidate.epoch > highestEpoch || isWonEpoch || current == candidate
    }

    private fun isReleased(holder: LeaseHolder) = released[holder.instance]?.let { holder.isReleasedBy(it) } == true

    private fun answer(
        candidate: LeaseHolder,
        round: Long,
        isGranted: Boolean,
        isProbe: Boolean,
    ): LeaseMessage.Vote {
        val holder = if (isGranted) null else knownHolder
        return LeaseMessage.Vote(
            voter = settings.self,
            epoch = candidate.epoch,
            round = round,
            isGranted = isGranted,
            isProbe = isProbe,
            highestEpoch = if (isGranted) 0 else highestEpoch,
            known = holder,
            knownRemainingMs = if (holder == null) 0 else knownUntilMs - clockMs,
        )
    }
}

private fun LeaseHolder.isReleasedBy(released: LeaseHolder) = isSameProcess(released) && epoch <= released.epoch
