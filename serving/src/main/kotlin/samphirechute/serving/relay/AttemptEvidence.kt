package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.routing.quarantine.RunEvidence
import samphirechute.routing.quarantine.RunOutcome

/**
 * Logs how the attempts of one request ended, and reports what they show about prompts that crash upstreams. [Relay] calls
 * it for each attempt.
 */
internal class AttemptEvidence(
    private val request: RelayedRequest,
) {
    private val context = request.context
    private val accepted = request.accepted

    /** Logs the end of an attempt and reports what it shows. [isWatched] is what its grant asked for. */
    fun recordEnd(
        target: UpstreamId,
        send: Int,
        ended: Attempt,
        result: AttemptResult,
        isWatched: Boolean,
    ) {
        context.log.recordAttempt(result.label)
        logEnd(target, send, ended, result)
        observeEnd(target, ended, result, isWatched)
    }

    /** Names the prompt of a lost attempt, since requests that end with an engine may have a part of it in common. */
    private fun logEnd(
        target: UpstreamId,
        send: Int,
        ended: Attempt,
        result: AttemptResult,
    ) = request.log(
        "attempt_ended",
        mapOf(
            "route" to request.route.name,
            "upstream" to target,
            "send" to send,
            "outcome" to result.label,
            "detail" to (result as? AttemptResult.Lost)?.detail,
            "head" to ended.status,
            "events" to ended.events,
            "sent_age_ms" to request.nowMs - ended.sentMs,
            "connection" to ended.connection?.number,
            "calls_before" to ended.connection?.callsBefore,
            "skipped_answers" to ended.connection?.skippedAnswers,
            "skipped_bytes" to ended.connection?.skippedBytes,
            "ms" to request.elapsedMs,
        ) + partsField(result is AttemptResult.Lost),
    )

    /** Reports a run that ended with its upstream at the beginning of the answer, and a short answer that is complete. */
    private fun observeEnd(
        target: UpstreamId,
        ended: Attempt,
        result: AttemptResult,
        isWatched: Boolean,
    ) {
        ended.headLeadMs?.let { context.heads.record(accepted.service, it) }
        if (ended.isBeyondBeginning) return
        val outcome =
            when (result) {
                is AttemptResult.Lost -> lossOf(ended).takeIf { result.isBrokenOff }
                is AttemptResult.Answered -> RunOutcome.SOUND.takeIf { result.head.status < Relay.FIRST_FAILURE }
                is AttemptResult.StreamEnded -> RunOutcome.SOUND
                is AttemptResult.NotRun, is AttemptResult.NoMemory -> null
            }
        outcome?.let { observeRun(target, ended, it, isWatched) }
    }

    /** An answer in one piece shows nothing before its end, and a stream only if its head comes before the first event. */
    private fun lossOf(ended: Attempt): RunOutcome {
        val showsBegin = request.route.isStream && context.heads.areEarly(accepted.service)
        return if (showsBegin && ended.status == null) RunOutcome.LOST_WAITING else RunOutcome.LOST_BEGUN
    }

    fun observeRun(
        target: UpstreamId,
        run: Attempt,
        outcome: RunOutcome,
        isWatched: Boolean,
    ) {
        val traits = accepted.traits
        if (outcome == RunOutcome.SOUND && !isWatched && !context.quarantine.isInQuestion(traits)) return
        val instance = context.settings.instance
        val evidence = RunEvidence(request.id, instance, target, traits, run.sentMs, request.nowMs, outcome)
        context.quarantine.observe(evidence)
    }

    private fun partsField(isNamed: Boolean) =
        if (isNamed) {
            mapOf("parts" to request.loggedParts, "whole" to accepted.wholeRequest)
        } else {
            emptyMap()
        }
}
