package samphirechute.state.lease

import samphirechute.core.InstanceId
import kotlin.random.Random

/**
 * One instance's part in the coordinator lease of its failure domain, as voter and as candidate.
 *
 * An instance holds the lease while a majority of voters is bound to it. The holder counts each vote from before it
 * asked and stops [LEASE_MARGIN_MS] early; a voter counts from when it voted, and restarts with a wait of one vote.
 * So the holder always stops before any of its voters is free, whatever is lost, delayed, repeated or cut.
 */
class DomainLease(
    private val settings: LeaseSettings,
    private val random: Random,
) {
    private val voter = Voter(settings)
    private var phase: Phase = Phase.Idle(null)
    private var isEligible = true
    private var contentions = 0
    private var round = 0L
    private var reported: LeaseHolder? = null

    /** The coordinator as this instance knows it; null when it knows none. It may just have lost the lease. */
    val holder: LeaseHolder? get() = (phase as? Phase.Holding)?.self ?: voter.knownHolder

    /** The highest epoch that this instance has seen in its failure domain. */
    val highestEpoch: Long get() = voter.highestEpoch

    /** True while this instance is coordinator. Check it with the current time before each act as coordinator. */
    fun isHolding(nowMs: Long): Boolean = (phase as? Phase.Holding)?.let { nowMs < it.votes.endMs() } == true

    fun handle(
        input: LeaseInput,
        nowMs: Long,
    ): List<LeaseOutput> {
        voter.advance(nowMs)
        val outputs = mutableListOf<LeaseOutput>()
        endIfExpired(nowMs, outputs)
        when (input) {
            LeaseInput.Ticked -> Unit
            is LeaseInput.Received -> onMessage(input.from, input.message, nowMs, outputs)
            is LeaseInput.EligibilityChanged -> onEligibility(input.isEligible, outputs)
            is LeaseInput.EpochSeen -> voter.seeEpoch(input.epoch)
        }
        act(nowMs, outputs)
        if (holder != reported) {
            reported = holder
            outputs += LeaseOutput.HolderChanged(reported)
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
            is LeaseMessage.Ask -> outputs += LeaseOutput.Answer(voter.onAsk(message))
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
                voter.know(it, vote.knownLeftMs)
            }
        }
        if (!vote.isGranted) {
            if (current is Phase.Probing) voter.seeEpoch(vote.highestEpoch)
            onRefusal(vote, outputs)
            return
        }
        when {
            current is Phase.Probing && vote.isProbe && vote.epoch == current.self.epoch -> {
                current.willing += vote.voter
                if (current.willing.size >= settings.majority) campaign(current.self, nowMs, outputs)
            }

            current is Phase.Asking && !vote.isProbe && vote.epoch == current.self.epoch -> {
                current.votes.count(vote.voter, vote.round)
                winIfMajority(current, nowMs, outputs)
            }

            current is Phase.Holding && !vote.isProbe && vote.epoch == current.self.epoch -> {
                current.votes.count(vote.voter, vote.round)
            }
        }
    }

    /** A candidate that can no longer win makes room at once. */
    private fun onRefusal(
        vote: LeaseMessage.Vote,
        outputs: MutableList<LeaseOutput>,
    ) {
        val current = phase as? Phase.Candidate ?: return
        if (vote.epoch != current.self.epoch) return
        current.refused += vote.voter
        if (current.refused.size > settings.voters.size - settings.majority) giveUp(current, outputs)
    }

    /** Candidates that compete wait longer each time, so that one of many voters gets a majority soon. */
    private fun giveUp(
        candidate: Phase.Candidate,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (candidate.refused.isNotEmpty()) contentions++
        if (candidate is Phase.Asking) release(candidate.self, outputs)
        phase = Phase.Idle(null)
    }

    private fun onEligibility(
        isEligible: Boolean,
        outputs: MutableList<LeaseOutput>,
    ) {
        this.isEligible = isEligible
        if (isEligible) return
        when (val current = phase) {
            is Phase.Holding -> end(current, LeaseLoss.HANDED_BACK, outputs)
            is Phase.Asking -> release(current.self, outputs)
            else -> Unit
        }
        phase = Phase.Idle(null)
    }

    private fun endIfExpired(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val current = phase as? Phase.Holding ?: return
        if (nowMs >= current.votes.endMs()) end(current, LeaseLoss.EXPIRED, outputs)
    }

    private fun act(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        when (val current = phase) {
            is Phase.Idle -> {
                consider(current, nowMs, outputs)
            }

            is Phase.Candidate -> {
                if (nowMs >= current.untilMs) giveUp(current, outputs)
            }

            is Phase.Holding -> {
                if (nowMs >= current.nextAskMs) renew(current, nowMs, outputs)
            }
        }
    }

    private fun consider(
        idle: Phase.Idle,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (!isEligible || !voter.isFree || voter.knownHolder != null) {
            phase = Phase.Idle(null)
            if (voter.knownHolder != null) contentions = 0
            return
        }
        val candidacyMs = idle.candidacyMs
        if (candidacyMs == null) {
            val longestMs = MAX_CANDIDACY_DELAY_MS shl contentions.coerceAtMost(MAX_DOUBLINGS)
            phase = Phase.Idle(nowMs + random.nextLong(MIN_CANDIDACY_DELAY_MS, longestMs + 1))
        } else if (nowMs >= candidacyMs) {
            probe(nowMs, outputs)
        }
    }

    private fun probe(
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val self = selfAt(voter.highestEpoch + 1)
        val probing = Phase.Probing(self, nowMs + CAMPAIGN_MS, mutableSetOf(settings.self))
        phase = probing
        sendAll(LeaseMessage.Probe(self, ++round), outputs)
        if (probing.willing.size >= settings.majority) campaign(self, nowMs, outputs)
    }

    private fun campaign(
        self: LeaseHolder,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val asking = Phase.Asking(self, nowMs + CAMPAIGN_MS, VoteCount(settings.majority))
        phase = asking
        askAll(asking.self, asking.votes, isHolding = false, nowMs, outputs)
        winIfMajority(asking, nowMs, outputs)
    }

    private fun winIfMajority(
        asking: Phase.Asking,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        if (nowMs >= asking.votes.endMs()) return
        val holding = Phase.Holding(asking.self, asking.votes, nowMs)
        phase = holding
        outputs += LeaseOutput.Acquired(asking.self.epoch)
        // The other voters learn the holder from its first renewal.
        renew(holding, nowMs, outputs)
    }

    private fun renew(
        holding: Phase.Holding,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        holding.nextAskMs = nowMs + RENEWAL_MS
        askAll(holding.self, holding.votes, isHolding = true, nowMs, outputs)
    }

    private fun askAll(
        self: LeaseHolder,
        votes: VoteCount,
        isHolding: Boolean,
        nowMs: Long,
        outputs: MutableList<LeaseOutput>,
    ) {
        val ask = LeaseMessage.Ask(self, ++round, isHolding)
        votes.asked(round, nowMs)
        if (voter.onAsk(ask).isGranted) votes.count(settings.self, round)
        sendAll(ask, outputs)
    }

    private fun end(
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

    private fun selfAt(epoch: Long) = LeaseHolder(settings.self, settings.incarnation, settings.address, epoch)
}
