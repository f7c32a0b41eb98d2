package samphirechute.routing.flow.matrix

import samphirechute.routing.flow.AttemptFailure
import samphirechute.routing.flow.FlowInput
import samphirechute.routing.flow.FlowOutput

/** Simulates one attempt: the connection to an engine, the run there, and the answer on its way back. */
internal class EngineRun(
    private val simulation: Simulation,
    private val driver: FlowDriver,
    private val profile: Profile,
    private val dispatch: FlowOutput.Dispatch,
) {
    val engine = simulation.engine(dispatch.grant.primary.upstream)
    val connection =
        if (dispatch.useFreshConnection) {
            FakeConnection()
        } else {
            simulation.pooledConnection(driver.submission.instance, engine.id)
        }
    private val key = dispatch.grant.key
    val attempt = dispatch.attempt
    private var isSent = false
    private var isSettled = false
    private var isCancelled = false

    /** True when the engine may still run the attempt, which was neither answered completely nor cancelled. */
    val isOrphan get() = isSent && !isSettled && !isCancelled

    fun start() {
        connection.onCut = { if (isSent) fail(AttemptFailure.CLOSED) }
        simulation.timer.after(NETWORK_MS) { connected() }
    }

    fun cancel() {
        isCancelled = true
        simulation.timer.after(NETWORK_MS) { if (canReachEngine()) engine.cancel(key) }
    }

    private fun connected() {
        if (isCancelled || driver.isDead) return
        if (dispatch.useFreshConnection && !canReachEngine()) return
        if (dispatch.useFreshConnection && engine.isDead) return fail(AttemptFailure.CONNECT_FAILED)
        isSent = true
        driver.feed(FlowInput.BytesSent(dispatch.attempt))
        if (connection.isCut || engine.isDead) return fail(AttemptFailure.CLOSED)
        if (!connection.isSilent) simulation.timer.after(NETWORK_MS) { received() }
    }

    private fun received() {
        if (engine.isDead || !canReachEngine()) return
        if (engine.refuses) {
            return answer { FlowInput.AttemptFailed(dispatch.attempt, AttemptFailure.REFUSED, answeredId()) }
        }
        simulation.trace.executions += Execution(driver.submission.index, simulation.timer.nowMs())
        engine.held += key
        val prefillMs = profile.prefillMs * engine.slowdown + simulation.random.nextLong(JITTER_MS)
        simulation.timer.after(prefillMs / 2) { simulation.stepReached(Step.PREFILL, driver) }
        // A resumed answer repeats one token, as from an engine that can resume only at a cache block.
        simulation.timer.after(prefillMs) { generate((dispatch.resumeOffset - 1).coerceAtLeast(0)) }
    }

    private fun generate(offset: Long) {
        if (key !in engine.held || engine.isSilent) return
        if (offset == profile.tokens.toLong()) {
            engine.held -= key
            return answer { FlowInput.AnswerEnded(dispatch.attempt, answeredId(), offset) }
        }
        answer { FlowInput.TokensArrived(dispatch.attempt, answeredId(), offset, listOf(answeredToken(offset))) }
        simulation.timer.after(profile.tokenMs * engine.slowdown) { generate(offset + 1) }
    }

    private fun answeredToken(offset: Long) = if (engine.isCrossed) "other$offset" else answerToken(offset)

    private fun answeredId() = if (engine.isCrossed) "other" else key.requestId.value

    private fun answer(input: () -> FlowInput) {
        val message = input()
        simulation.timer.after(if (engine.isLate) LATE_MS else NETWORK_MS) {
            val isLost = connection.isSilent || connection.isCut || engine.isSilent || engine.isDead
            if (isLost || !canReachEngine()) return@after
            isSettled = isSettled || isLastOf(message)
            driver.feed(message)
        }
    }

    private fun isLastOf(message: FlowInput) =
        (message is FlowInput.AnswerEnded && message.requestId == key.requestId.value) ||
            message is FlowInput.AttemptFailed

    private fun fail(failure: AttemptFailure) = driver.feed(FlowInput.AttemptFailed(dispatch.attempt, failure))

    private fun canReachEngine() = simulation.canReach(driver.domain, engine.domain)

    private companion object {
        const val NETWORK_MS = 1L
        const val JITTER_MS = 3L
        const val LATE_MS = 3_000L
    }
}
