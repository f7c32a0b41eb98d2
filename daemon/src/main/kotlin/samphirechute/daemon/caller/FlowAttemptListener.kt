package samphirechute.daemon.caller

import samphirechute.daemon.upstream.AttemptListener
import samphirechute.daemon.upstream.UpstreamAttempt
import samphirechute.routing.Grant
import samphirechute.routing.flow.AttemptFailure
import samphirechute.routing.flow.FlowInput

/** Listens to one attempt at an upstream and turns its events into inputs of the flow of the request. */
internal class FlowAttemptListener(
    private val grant: Grant,
    val number: Int,
    private val feed: (FlowInput) -> Unit,
    private val onHeadReceived: (FlowAttemptListener, Int, String, Map<String, String>) -> Unit,
    private val recordEvent: (event: String, fields: Array<Pair<String, Any?>>) -> Unit,
) : AttemptListener {
    /** The attempt; null until it has been started. */
    var call: UpstreamAttempt? = null

    override fun onSending() = feed(FlowInput.BytesSent(number))

    override fun onHead(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) = onHeadReceived(this, status, contentType, headers)

    override fun onTokens(
        requestId: String,
        offset: Long,
        texts: List<String>,
    ) = feed(FlowInput.TokensArrived(number, requestId, offset, texts))

    override fun onEnd(
        requestId: String,
        totalTokens: Long,
        cachedTokens: Long,
    ) = feed(FlowInput.AnswerEnded(number, requestId, totalTokens))

    override fun onFailure(
        failure: AttemptFailure,
        requestId: String?,
    ) {
        recordEvent(
            "attempt_failed",
            arrayOf("attempt" to number, "failure" to failure, "upstream" to grant.primary.upstream),
        )
        feed(FlowInput.AttemptFailed(number, failure, requestId))
    }
}
