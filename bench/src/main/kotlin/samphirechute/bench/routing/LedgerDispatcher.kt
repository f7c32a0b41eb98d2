package samphirechute.bench.routing

import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamReport
import samphirechute.routing.ledger.DomainLedger
import samphirechute.routing.ledger.LedgerInput
import samphirechute.routing.ledger.LedgerOutput

/** The ledger of one failure domain, with the messages that its holders send. */
class LedgerDispatcher(
    val ledger: DomainLedger = DomainLedger(),
) : Dispatcher {
    private val held = HashMap<InstanceId, HashMap<GrantKey, Grant>>()
    private var renewedMs = 0L
    private var isStarted = false

    override fun ask(
        request: SimRequest,
        nowMs: Long,
    ) = send(LedgerInput.GrantRequested(request.grantRequest(nowMs)), nowMs)

    override fun ended(
        request: SimRequest,
        ending: GrantEnding,
        nowMs: Long,
    ): List<Decision> {
        held[request.key.instance]?.remove(request.key)
        val first = if (request.firstMs >= 0) request.firstMs - request.dispatchedMs else null
        val tokenMs =
            if (request.isDone && request.answerTokens > 1) {
                (request.doneMs - request.firstMs).toDouble() / (request.answerTokens - 1)
            } else {
                null
            }
        val generated = if (request.isDone) request.answerTokens else 0L
        val result = GrantResult(ending, first, tokenMs, generated, request.cachedTokens)
        return send(LedgerInput.GrantReleased(request.key, result), nowMs)
    }

    override fun reported(
        report: UpstreamReport,
        nowMs: Long,
    ) = send(LedgerInput.UpstreamReported(report), nowMs)

    override fun ticked(nowMs: Long): List<Decision> {
        val decisions = ArrayList<Decision>()
        if (nowMs - renewedMs >= RENEW_MS) {
            renewedMs = nowMs
            for ((instance, grants) in held) {
                decisions += send(LedgerInput.GrantsRenewed(instance, grants.values.toList()), nowMs)
            }
        }
        return decisions + send(LedgerInput.Ticked, nowMs)
    }

    fun drain(
        isDomainDrained: Boolean,
        nowMs: Long,
    ) = send(LedgerInput.DrainsChanged(emptySet<UpstreamId>(), isDomainDrained), nowMs)

    private fun send(
        input: LedgerInput,
        nowMs: Long,
    ): List<Decision> {
        if (!isStarted) {
            isStarted = true
            ledger.handle(LedgerInput.EpochBegan(1), nowMs)
        }
        return ledger.handle(input, nowMs).mapNotNull(::decisionOf)
    }

    private fun decisionOf(output: LedgerOutput): Decision? =
        when (output) {
            is LedgerOutput.Granted -> {
                val grant = output.grant
                held.getOrPut(grant.key.instance) { HashMap() }[grant.key] = grant
                val parts = grant.parts.map { it.upstream.value to it.memoryTokens }
                Decision.Dispatch(grant.key.requestId, parts, grant.priority, grant.expectedFirstTokenMs)
            }

            is LedgerOutput.Refused -> {
                Decision.Refuse(output.key.requestId, output.reason)
            }

            is LedgerOutput.Reclaim, is LedgerOutput.RecordEvent -> {
                null
            }
        }

    private companion object {
        const val RENEW_MS = 500L
    }
}
