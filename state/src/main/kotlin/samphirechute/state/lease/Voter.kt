package samphirechute.state.lease

import samphirechute.core.InstanceId
import samphirechute.state.SteppedClock

/**
 * The voting side of the lease: at most one vote is in force at any time. Votes are counted on a [SteppedClock], since
 * a vote that ends late is safe and one that ends early is not.
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

    /** True when no vote is in force and the wait after the start is over. */
    val isFree: Boolean get() = clockMs >= VOTE_MS && (vote == null || clockMs >= voteUntilMs)

    val knownHolder: LeaseHolder? get() = known?.takeIf { clockMs < knownUntilMs }

    private val clockMs: Long get() = clock.elapsedMs

    fun advance(nowMs: Long) = clock.advance(nowMs)

    fun seeEpoch(epoch: Long) {
        highestEpoch = maxOf(highestEpoch, epoch)
    }

    fun onProbe(probe: LeaseMessage.Probe) =
        answer(probe.candidate, probe.round, isAllowed(probe.candidate, isHolding = false), true)

    fun onAsk(ask: LeaseMessage.Ask): LeaseMessage.Vote {
        val isGranted = isAllowed(ask.candidate, ask.isHolding)
        if (isGranted) {
            val isRepeat = vote == ask.candidate && ask.round <= lastRound && clockMs < voteUntilMs
            // A repeated or overtaken request is answered, but does not extend the vote.
            if (!isRepeat) {
                voteUntilMs = clockMs + VOTE_MS
                lastRound = ask.round
            }
            vote = ask.candidate
            seeEpoch(ask.candidate.epoch)
        }
        // A voter that refuses, such as one that has just started, learns the holder too.
        if (ask.isHolding && !isReleased(ask.candidate)) know(ask.candidate, VOTE_MS)
        return answer(ask.candidate, ask.round, isGranted, false)
    }

    /** Returns true when the release freed this voter or took away the holder it knew. */
    fun onRelease(released: LeaseHolder): Boolean {
        seeEpoch(released.epoch)
        if (!isReleased(released)) this.released[released.instance] = released
        val isVoteFreed = vote?.isReleasedBy(released) == true
        if (isVoteFreed) vote = null
        val isKnownGone = knownHolder?.isReleasedBy(released) == true
        if (isKnownGone) known = null
        return isVoteFreed || isKnownGone
    }

    fun know(
        holder: LeaseHolder,
        leftMs: Long,
    ) {
        val current = knownHolder
        if (current != null && current.epoch > holder.epoch) return
        known = holder
        knownUntilMs = clockMs + leftMs.coerceAtMost(VOTE_MS)
    }

    private fun isAllowed(
        candidate: LeaseHolder,
        isHolding: Boolean,
    ): Boolean {
        if (clockMs < VOTE_MS || isReleased(candidate)) return false
        val current = vote
        val isSame = current != null && current.isSameProcess(candidate)
        if (!isFree && !isSame) return false
        // A candidate that lost may have used the epoch of the holder, but only one of them can have won it.
        val isEpochWon = isHolding && candidate.epoch == highestEpoch
        return candidate.epoch > highestEpoch || isEpochWon || current == candidate
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
            knownLeftMs = if (holder == null) 0 else knownUntilMs - clockMs,
        )
    }
}

private fun LeaseHolder.isReleasedBy(released: LeaseHolder) = isSameProcess(released) && epoch <= released.epoch
