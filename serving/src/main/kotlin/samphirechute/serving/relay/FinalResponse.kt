package samphirechute.serving.relay

import samphirechute.core.UpstreamId
import samphirechute.net.HopHeaders
import samphirechute.net.ResponseStream

/**
 * The final response to the caller of one request, which is sent once. [Relay] decides which one it is. Each leaves by
 * [send], which replaces one that promises that the request has not run although it may have.
 */
internal class FinalResponse(
    private val request: RelayedRequest,
    private val rules: RetryRules,
    private val stream: RelayedStream,
    /** The upstream of the last attempt, for the log. */
    private val upstream: () -> UpstreamId?,
    /** Called once, before the end is logged. */
    private val onFinish: () -> Unit,
    /** Called once, after everything else. */
    private val onEnd: () -> Unit,
) {
    private val context = request.context

    /** The error that an upstream answered before a retry. It becomes the final answer if no later attempt succeeds. */
    var failedAnswer: AttemptResult.Answered? = null

    /** How long the whole answer took, or null while there is none and after a rejection or failure. */
    var wholeAfterMs: Long? = null
        private set
    var isDone = false
        private set

    /** Passes on the complete answer of an upstream. */
    fun respond(result: AttemptResult.Answered) = send(FinalAnswer.OfUpstream(result))

    private fun send(answer: FinalAnswer) =
        when (val truthful = answer.truthful(rules.mayHaveRun, request.isRepeatable)) {
            is FinalAnswer.OfUpstream -> {
                passOn(truthful.result)
            }

            is FinalAnswer.Own -> {
                if (answer is FinalAnswer.OfUpstream) logWithheld(answer, truthful)
                answerWith(truthful.refusal)
            }
        }

    private fun logWithheld(
        answer: FinalAnswer.OfUpstream,
        sent: FinalAnswer.Own,
    ) = request.log(
        "answer_withheld",
        mapOf(
            "route" to request.route.name,
            "upstream" to upstream(),
            "answered" to answer.status,
            "status" to sent.status,
            "reason" to "promises_not_run",
        ),
    )

    private fun passOn(result: AttemptResult.Answered) {
        val fields = result.head.fields.filter(HopHeaders::isEndToEnd)
        val body = request.exchange.startRelay(result.head.status, fields, result.body.size.toLong())
        body.write(result.body)
        body.finish()
        context.log.recordFirstByte(request.route.name, request.elapsedMs)
        if (result.head.status < FIRST_REJECTION) wholeAfterMs = request.elapsedMs
        finish(result.head.status, "answered")
    }

    /** Ends a stream of which all events have been relayed. */
    fun endStream() {
        stream.open?.finish()
        wholeAfterMs = request.elapsedMs
        finish(OK, "answered")
    }

    /** Sends the final answer when no further attempt is made. */
    fun giveUp(
        reason: String,
        retryAfterMs: Long = RETRY_AFTER_MS,
    ) {
        val open = stream.open
        val answer = failedAnswer
        when {
            open != null -> abort(open, reason)
            answer != null -> respond(answer)
            else -> send(FinalAnswer.Own(Refusal.Busy(reason, retryAfterMs)))
        }
    }

    /** Sends the final answer before the request has ended: [refusal], or the end of a stream that has begun. */
    fun endEarly(
        reason: String,
        refusal: Refusal,
    ) {
        val open = stream.open
        if (open != null) abort(open, reason) else send(FinalAnswer.Own(refusal))
    }

    /** Records that the caller has left, which gets no answer. */
    fun endWithoutCaller() = finish(CALLER_LEFT, "caller_left")

    private fun abort(
        open: ResponseStream,
        reason: String,
    ) {
        open.abort()
        finish(STREAM_ABORTED, reason)
    }

    private fun answerWith(refusal: Refusal) {
        request.exchange.answerWith(refusal)
        finish(refusal.status, refusal.code)
    }

    private fun finish(
        status: Int,
        reason: String,
    ) {
        if (isDone) return
        isDone = true
        onFinish()
        context.log.recordFinished(request.route.name, status, reason)
        request.log(
            "finished",
            mapOf(
                "route" to request.route.name,
                "status" to status,
                "reason" to reason,
                "sends" to rules.sends,
                "upstream" to upstream(),
                "ran" to rules.mayHaveRun,
                "events" to stream.lastEventId,
                "first_ms" to stream.firstByteMs,
                "longest_pause_ms" to stream.longestPauseMs,
                "ms" to request.elapsedMs,
                "whole" to request.accepted.wholeRequest,
            ),
        )
        onEnd()
    }

    companion object {
        const val RETRY_AFTER_MS = 500L
        private const val OK = 200

        /** An upstream rejects a request faster than it serves one. */
        private const val FIRST_REJECTION = 400

        /** Statuses in logs and metrics only: the caller left before the answer, and a stream was aborted. */
        private const val CALLER_LEFT = 499
        private const val STREAM_ABORTED = 599
    }
}
