package samphirechute.daemon.caller

import samphirechute.core.RunState
import samphirechute.routing.flow.FlowOutcome
import samphirechute.state.command.ClaimResult

/**
 * Collects the answer of a non-repeatable request for its claim, so that a resend gets the same answer. An answer
 * longer than a claim may hold is not kept.
 */
internal class AnswerRecorder(
    private val isKept: Boolean,
) {
    private var status = 200
    private var contentType = "text/plain"
    private val body = StringBuilder()
    private var isTooLarge = false

    fun head(
        status: Int,
        contentType: String,
    ) {
        this.status = status
        this.contentType = contentType
    }

    fun add(texts: List<String>) {
        if (!isKept || isTooLarge) return
        texts.forEach(body::append)
        isTooLarge = body.length > MAX_KEPT_CHARS
        if (isTooLarge) body.clear()
    }

    fun toClaimResult(outcome: FlowOutcome): ClaimResult {
        val isUnknown = outcome.runState == RunState.UNKNOWN
        return ClaimResult(status, contentType, if (isUnknown || isTooLarge) null else body.toString(), isUnknown)
    }

    private companion object {
        const val MAX_KEPT_CHARS = 64 * 1024
    }
}
