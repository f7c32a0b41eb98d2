package samphirechute.state.lease

import samphirechute.core.InstanceId
import kotlin.random.Random

/**
 * Elects the coordinator of a failure domain. Each instance of the domain runs one of these, as voter and as candidate.
 *
 * It is a state machine without threads, network or clock: the caller, which is the coordinator controller of the
 * daemon, passes inputs with the current time to [handle] and carries out the returned outputs. It owns the [Voter] and
 * the [Phase] of the own candidacy.
 *
 * An instance holds the lease while a majority of voters is bound to it. The holder counts each vote from the time
 * before it sent the request, and stops [LEASE_MARGIN_MS] early. A voter counts from the time when it voted, and gives
 * no vote in the first [VOTE_MS] after a restart. So the holder stops before any of its voters can vote for another
 * instance, even if messages are lost, delayed or repeated, or links are cut.
 */
class DomainLease(
    private val settings: LeaseSettings,
    private val random: Random,
) {
    private val voter = Voter(settings)
    private var phase: Phase = Phase.Idle(null)
    private var isEligible = true
    private var contendedCandidacies = 0
    private var round = 0L
    private var reportedHolder: LeaseHolder? = null

    /** The last known coordinator, or null when none is known. It may have lost the lease in the meantime. */
    val holder: LeaseHolder? get() = (phase as? Phase.Holding)?.self ?: voter.knownHolder

    /** The highest epoch that this instance has seen in its failure domain, never below its own incarnation. */
    val highestEpoch: Long get() = voter.highestEpoch

    /** Whether this instance is coordinator at [nowMs]. Check it before every action as coordinator. */
    fun isHolding(nowMs: Long): Boolean = (phase as? Phase.Holding)?.let { nowMs < it.votes.leaseEndMs() } == true

    /**
     * Applies one input and returns what the caller must do.
     *
     * The voter's clock is advanced and an expired lease is given up first, so that the input never sees an expired
     * lease as held. [advancePhase] runs last, so that it sees the effect of the input.
     */
    fun handle(
        input: LeaseInput,
        nowMs: Long,
    ): List<LeaseOutput> {
        voter.advance(nowMs)
        val outputs = mutableListOf<LeaseOutput>()
        loseIfExpired(nowMs, outputs)
        when (input) {
            LeaseInput.Ticked -> Unit
            is LeaseInput.Received -> onMessage(input.from, input.message, nowMs, outputs)
            is LeaseInput.EligibilityChanged -> onEligibility(input.isEligible, outputs)
            is LeaseInput.EpochSeen -> voter.observeEpoch(input.epoch)
        }
        advancePhase(nowMs, outputs)
        if (holder != reportedHolder) {
            reportedHolder = holder
            outputs += LeaseOutput.HolderChanged(reportedHolder)
        }
        return outputs
    }

    private fun onMessage(
        from: InstanceId,
        message: LeaseMessage,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (from !in settings.voters || from == settings.self) return
        when (message) {
            is LeaseMessage.Probe -> outputs += LeaseOutput.Answer(voter.onProbe(message))
            is LeaseMessage.VoteRequest -> outputs += LeaseOutput.Answer(voter.onVoteRequest(message))
            is LeaseMessage.Release -> voter.onRelease(message.candidate)
            is LeaseMessage.Vote -> onVote(message, nowMs, outputs)
        }
    }

    private fun onVote(
        vote: LeaseMessage.Vote,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val current = phase
        vote.known?.let {
            if (current !is Phase.Holding &&
                it.instance != settings.self
            ) {
                voter.learnHolder(it, vote.knownRemainingMs)
            }
        }
        if (!vote.isGranted) {
            if (current is Phase.Probing) voter.observeEpoch(vote.highestEpoch)
            onRefusal(vote, outputs)
            return
        }
        when {
            current is Phase.Probing && vote.isProbe && vote.epoch == current.self.epoch -> {
                current.supporters += vote.voter
                if (current.supporters.size >= settings.majority) requestVotes(current.self, nowMs, outputs)
            }

            current is Phase.Campaigning && !vote.isProbe && vote.epoch == current.self.epoch -> {
                current.votes.recordVote(vote.voter, vote.round)
                acquireIfMajority(current, nowMs, outputs)
            }

            current is Phase.Holding && !vote.isProbe && vote.epoch == current.self.epoch -> {
                current.votes.recordVote(vote.voter, vote.round)
            }
        }
    }

    /** Ends a candidacy as soon as enough voters refused that it can no longer win. */
    private fun onRefusal(
        vote: LeaseMessage.Vote,
        outputs: MutableList<LeaseOutput>,
    ) {
        val current = phase as? Phase.Candidate ?: return
        if (vote.epoch != current.self.epoch) return
        current.refused += vote.voter
        if (current.refused.size > settings.voters.size - settings.majority) giveUp(current, outputs)
    }

    /**
     * Ends a candidacy. When a voter refused, the next delay may be longer, so that one of many competing candidates
     * gets a majority soon.
     */
    private fun giveUp(
        candidate: Phase.Candidate,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (candidate.refused.isNotEmpty()) contendedCandidacies++
        if (candidate is Phase.Campaigning) release(candidate.self, outputs)
        phase = Phase.Idle(null)
    }

    private fun onEligibility(
        isEligible: Boolean,
        outputs: MutableList<LeaseOutput>,
    ) {
        this.isEligible = isEligible
        if (isEligible) return
        when (val current = phase) {
            is Phase.Holding -> loseLease(current, LeaseLoss.HANDED_BACK, outputs)
            is Phase.Campaigning -> release(current.self, outputs)
            else -> Unit
        }
        phase = Phase.Idle(null)
    }

    private fun loseIfExpired(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val current = phase as? Phase.Holding ?: return
        if (nowMs >= current.votes.leaseEndMs()) loseLease(current, LeaseLoss.EXPIRED, outputs)
    }

    /** Starts or ends a candidacy, or renews the lease, when it is time to. */
    private fun advancePhase(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        when (val current = phase) {
            is Phase.Idle -> {
                scheduleCandidacy(current, nowMs, outputs)
            }

            is Phase.Candidate -> {
                if (nowMs >= current.untilMs) giveUp(current, outputs)
            }

            is Phase.Holding -> {
                if (nowMs >= current.nextRenewalMs) renew(current, nowMs, outputs)
            }
        }
    }

    /** Waits a random delay before a candidacy, so that the voters do not all start at once, and then starts it. */
    private fun scheduleCandidacy(
        idle: Phase.Idle,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (!isEligible || !voter.isFree || voter.knownHolder != null) {
            phase = Phase.Idle(null)
            if (voter.knownHolder != null) contendedCandidacies = 0
            return
        }
        val candidateAtMs = idle.candidateAtMs
        if (candidateAtMs == null) {
            val longestMs = MAX_CANDIDACY_DELAY_MS shl contendedCandidacies.coerceAtMost(MAX_DELAY_DOUBLINGS)
            phase = Phase.Idle(nowMs + random.nextLong(MIN_CANDIDACY_DELAY_MS, longestMs + 1))
        } else if (nowMs >= candidateAtMs) {
            probe(nowMs, outputs)
        }
    }

    /** Asks who would vote for this instance. Votes are requested only when a majority would, since a vote binds. */
    private fun probe(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val self = holderForEpoch(voter.highestEpoch + 1)
        val probing = Phase.Probing(self, nowMs + CANDIDACY_MS, mutableSetOf(settings.self))
        phase = probing
        sendAll(LeaseMessage.Probe(self, ++round), outputs)
        if (probing.supporters.size >= settings.majority) requestVotes(self, nowMs, outputs)
    }

    private fun requestVotes(
        self: LeaseHolder,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val campaigning = Phase.Campaigning(self, nowMs + CANDIDACY_MS, VoteCount(settings.majority))
        phase = campaigning
        sendVoteRequests(campaigning.self, campaigning.votes, isHolding = false, nowMs, outputs)
        acquireIfMajority(campaigning, nowMs, outputs)
    }

    private fun acquireIfMajority(
        campaigning: Phase.Campaigning,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (nowMs >= campaigning.votes.leaseEndMs()) return
        val holding = Phase.Holding(campaigning.self, campaigning.votes, nowMs)
        phase = holding
        outputs += LeaseOutput.Acquired(campaigning.self.epoch)
        // Renewing at once tells the other voters who holds the lease.
        renew(holding, nowMs, outputs)
    }

    private fun renew(
        holding: Phase.Holding,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        holding.nextRenewalMs = nowMs + LEASE_RENEWAL_MS
        sendVoteRequests(holding.self, holding.votes, isHolding = true, nowMs, outputs)
    }

    /** Records the round before anything is sent, so that each vote counts from before its request. */
    private fun sendVoteRequests(
        self: LeaseHolder,
        votes: VoteCount,
        isHolding: Boolean,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val request = LeaseMessage.VoteRequest(self, ++round, isHolding)
        votes.recordRound(round, nowMs)
        if (voter.onVoteRequest(request).isGranted) votes.recordVote(settings.self, round)
        sendAll(request, outputs)
    }

    private fun loseLease(
        holding: Phase.Holding,
        reason: LeaseLoss,
        outputs: MutableList<LeaseOutput>,
    ) {
        phase = Phase.Idle(null)
        outputs += LeaseOutput.Lost(holding.self.epoch, reason)
        release(holding.self, outputs)
    }

    private fun release(
        self: LeaseHolder,
        outputs: MutableList<LeaseOutput>,
    ) {
        voter.onRelease(self)
        sendAll(LeaseMessage.Release(self), outputs)
    }

    private fun sendAll(
        message: LeaseMessage,
        outputs: MutableList<LeaseOutput>,
    ) {
        for (to in settings.voters) if (to != settings.self) outputs += LeaseOutput.Send(to, message)
    }

    private fun holderForEpoch(epoch: Long) = LeaseHolder(settings.self, settings.incarnation, settings.address, epoch)
}
