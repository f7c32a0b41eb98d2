package samphirechute.routing.flow.matrix

import samphirechute.core.FailureDomain
import samphirechute.core.RequestId
import samphirechute.core.RunState
import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.RefusalReason
import samphirechute.routing.flow.ClaimAnswer
import samphirechute.routing.flow.FlowInput
import samphirechute.routing.flow.FlowOutput
import samphirechute.routing.flow.FlowRequest
import samphirechute.routing.flow.FlowState
import samphirechute.routing.flow.RequestFlow
import samphirechute.routing.flow.RetryBudget
import samphirechute.routing.flow.UpstreamHealth

/**
 * Executes the outputs of one flow, as the daemon does: asks coordinators and the store, dispatches attempts and renews
 * grants. One submission of the request to an instance has one driver.
 */
internal class FlowDriver(
    private val simulation: Simulation,
    private val cell: Cell,
    val submission: Submission,
    val domain: FailureDomain,
    private val mutator: OutputMutator,
) {
    /**
     * Unique to the submission. If two shared a claimant, a release by the first would free the claim of the second.
     */
    val claimant = "${submission.instance}#${submission.index}"
    var run: EngineRun? = null
        private set
    val isDead get() = submission.diedMs != null
    val isFinished get() = isDead || flow.state is FlowState.Finished
    private val flow =
        RequestFlow(
            FlowRequest(
                id = REQUEST,
                deadlineMs = submission.deadlineMs,
                isNonRepeatable = cell.isNonRepeatable,
                continuesWithoutCaller = cell.isNonRepeatable,
                expectedTokens = cell.profile.tokens.toLong(),
            ),
            RetryBudget(),
            UpstreamHealth(),
        )
    private val timer = simulation.timer
    private val held = mutableSetOf<Grant>()
    private val openCalls = mutableSetOf<String>()
    private var inputs = 0
    private var nextTick: Subscription? = null

    fun start() {
        timer.every(RENEW_MS) { if (!isDead) held.filter(::canReachIssuerOf).forEach { issuerOf(it).renew(it) } }
        feed(FlowInput.Started)
        simulation.stepReached(Step.ACCEPTED, this)
    }

    fun die() {
        submission.diedMs = submission.diedMs ?: timer.nowMs()
        run?.connection?.onCut = {}
    }

    fun feed(input: FlowInput) {
        if (isDead) return
        check(++inputs <= MAX_INPUTS) { "the flow is still in ${flow.state} after $MAX_INPUTS inputs" }
        if (input is FlowInput.Granted) {
            if (submission.releases.putIfAbsent(input.grant, 0) == null) held += input.grant
        }
        for (output in mutator(input, flow.handle(input, timer.nowMs()))) if (!isDead) execute(output)
        if (isDead) return
        if (isIdle()) submission.idleMs = submission.idleMs ?: timer.nowMs()
        nextTick?.cancel()
        val dueMs = flow.nextDueMs
        nextTick = if (dueMs == Long.MAX_VALUE) null else timer.after(dueMs - timer.nowMs()) { feed(FlowInput.Ticked) }
    }

    private fun execute(output: FlowOutput) {
        when (output) {
            FlowOutput.AskClaim -> {
                askClaim()
            }

            FlowOutput.ReleaseClaim -> {
                retryUntilStoreReached { simulation.store.release(claimant) }
            }

            is FlowOutput.AskGrant -> {
                askGrant(output)
            }

            is FlowOutput.WithdrawGrant -> {
                simulation.coordinators.filter(::canReach).forEach { it.withdraw(key(output.attempt)) }
            }

            is FlowOutput.Dispatch -> {
                dispatch(output)
            }

            is FlowOutput.Deliver -> {
                deliver(output)
            }

            is FlowOutput.CancelAttempt -> {
                run?.cancel()
            }

            is FlowOutput.ReleaseGrant -> {
                release(output.grant)
            }

            is FlowOutput.RecordOutcome -> {
                record(output)
            }

            is FlowOutput.Finish -> {
                finish(output)
            }

            is FlowOutput.RecordEvent -> {}
        }
    }

    private fun askClaim() {
        openCalls += CLAIM
        val answer: (ClaimAnswer) -> Unit = {
            if (openCalls.remove(CLAIM)) {
                submission.hasClaim = it == ClaimAnswer.Accepted
                submission.hasAskedStore = it !is ClaimAnswer.Unavailable
                feed(FlowInput.ClaimAnswered(it))
                // The store also answers the resend of a command, so the flow must accept a repeated answer.
                timer.after(REPEAT_MS) { feed(FlowInput.ClaimAnswered(it)) }
            }
        }
        val timeout = timer.after(STORE_TIMEOUT_MS) { answer(ClaimAnswer.Unavailable(mayBeCommitted = true, RETRY_MS)) }
        timer.after(STORE_MS) {
            if (isDead || !canReachStore()) return@after
            val given = simulation.store.claim(claimant, submission.deadlineMs, timer.nowMs())
            timer.after(STORE_MS) {
                if (!canReachStore()) return@after
                timeout.cancel()
                answer(given)
            }
        }
    }

    private fun askGrant(ask: FlowOutput.AskGrant) {
        openCalls += "$GRANT${ask.attempt}"
        askCoordinator(ask.attempt, ask.excluded, 0, RefusalReason.NOT_COORDINATOR)
        timer.after(HALF_QUEUE_MS) { if (!isDead) simulation.stepReached(Step.QUEUED, this) }
    }

    /** Asks one coordinator after the other. A grant that arrives after the timeout is still passed to the flow. */
    private fun askCoordinator(
        attempt: Int,
        excluded: Set<UpstreamId>,
        index: Int,
        reason: RefusalReason,
    ) {
        val coordinator = simulation.coordinators.getOrNull(index)
        if (coordinator == null) {
            if (openCalls.remove("$GRANT$attempt")) feed(FlowInput.GrantRefused(attempt, reason, RETRY_MS))
            return
        }
        var isOpen = true
        val next = { why: RefusalReason ->
            if (isOpen) askCoordinator(attempt, excluded, index + 1, why)
            isOpen = false
        }
        timer.after(GRANT_TIMEOUT_MS) {
            if (isOpen && canReach(coordinator)) coordinator.withdraw(key(attempt))
            next(RefusalReason.NOT_COORDINATOR)
        }
        if (!canReach(coordinator)) return
        coordinator.ask(key(attempt), excluded) { grant ->
            if (!canReach(coordinator)) return@ask
            if (grant == null) return@ask next(RefusalReason.NO_UPSTREAM)
            isOpen = false
            openCalls -= "$GRANT$attempt"
            feed(FlowInput.Granted(grant))
            timer.after(REPEAT_MS) { feed(FlowInput.Granted(grant)) }
        }
    }

    private fun dispatch(output: FlowOutput.Dispatch) {
        simulation.stepReached(Step.GRANT_TAKEN, this)
        if (isDead) return
        run = EngineRun(simulation, this, cell.profile, output).also { it.start() }
        run?.let { submission.runs += it }
        simulation.stepReached(Step.DISPATCHED, this)
    }

    private fun deliver(output: FlowOutput.Deliver) {
        output.texts.forEachIndexed { index, text -> submission.delivered += (output.offset + index) to text }
        val last = output.offset + output.texts.size - 1
        if (output.offset == 0L) simulation.stepReached(Step.FIRST_TOKEN, this)
        if (cell.profile.tokens / 2L in output.offset..last) simulation.stepReached(Step.MID_STREAM, this)
        if (last == cell.profile.tokens - 1L) simulation.stepReached(Step.LAST_TOKEN, this)
    }

    private fun release(grant: Grant) {
        submission.releases.merge(grant, 1, Int::plus)
        held -= grant
        if (canReachIssuerOf(grant)) issuerOf(grant).release(grant)
    }

    private fun record(output: FlowOutput.RecordOutcome) {
        openCalls += RECORD
        if (output.outcome.runState == RunState.RAN) simulation.stepReached(Step.ACKNOWLEDGED, this)
        if (isDead) return
        val answer = { isRecorded: Boolean ->
            if (openCalls.remove(RECORD)) feed(FlowInput.OutcomeRecorded(isRecorded))
        }
        timer.after(STORE_TIMEOUT_MS) { answer(false) }
        retryUntilStoreReached {
            simulation.store.finish(claimant, output.outcome)
            answer(true)
        }
    }

    private fun finish(output: FlowOutput.Finish) {
        submission.outcomes += timer.nowMs() to output.outcome
        if (output.outcome.runState == RunState.RAN) simulation.stepReached(Step.ACKNOWLEDGED, this)
        if (!isDead) simulation.onOutcomeDelivered(this)
    }

    private fun retryUntilStoreReached(call: () -> Unit) {
        timer.after(STORE_MS) {
            when {
                isDead -> {}

                canReachStore() -> {
                    call()
                }

                else -> {
                    timer.after(RETRY_MS) { retryUntilStoreReached(call) }
                }
            }
        }
    }

    /** True when the flow waits although none of its requests is in progress. */
    private fun isIdle() =
        when (val state = flow.state) {
            FlowState.Accepted -> true
            is FlowState.Claiming -> state.askAgainMs == null && CLAIM !in openCalls
            is FlowState.AwaitingGrant -> state.askAgainMs == null && "$GRANT${state.attempt}" !in openCalls
            is FlowState.Recording -> RECORD !in openCalls
            is FlowState.Dispatched, is FlowState.Streaming -> held.isEmpty()
            is FlowState.Finished -> false
        }

    private fun key(attempt: Int) = GrantKey(submission.instance, REQUEST, attempt)

    private fun issuerOf(grant: Grant): FakeCoordinator {
        val engine = simulation.engine(grant.primary.upstream)
        return simulation.coordinators.first { it.domain == engine.domain }
    }

    private fun canReachIssuerOf(grant: Grant) = canReach(issuerOf(grant))

    private fun canReach(coordinator: FakeCoordinator) = simulation.canReach(domain, coordinator.domain)

    private fun canReachStore() = simulation.canReach(domain, Simulation.B)

    private companion object {
        val REQUEST = RequestId("r1")
        const val CLAIM = "claim"
        const val GRANT = "grant"
        const val RECORD = "record"
        const val RENEW_MS = 500L
        const val STORE_MS = 2L
        const val REPEAT_MS = 1L
        const val STORE_TIMEOUT_MS = 300L
        const val GRANT_TIMEOUT_MS = 500L
        const val HALF_QUEUE_MS = 10L
        const val RETRY_MS = 200L

        /** Far more than any cell needs. Without it, a flow that asks for a tick in the past would run forever. */
        const val MAX_INPUTS = 10_000
    }
}
