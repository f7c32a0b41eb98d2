package samphirechute.daemon.caller

import samphirechute.daemon.upstream.AttemptListener
import samphirechute.daemon.upstream.UpstreamAttempt
import samphirechute.routing.Grant
import samphirechute.routing.flow.AttemptFailure
import samphirechute.routing.flow.FlowInput

/** Turns what one attempt brings into inputs of the flow of its request. */
internal class AttemptFeed(
    private val grant: Grant,
    val number: Int,
    private val feed: (FlowInput) -> Unit,
    private val head: (AttemptFeed, Int, String, Map<String, String>) -> Unit,
    private val note: (event: String, fields: Array<Pair<String, Any?>>) -> Unit,
) : AttemptListener {
    /** The attempt, once it was started. */
    var call: UpstreamAttempt? = null

    override fun onSending() = feed(FlowInput.BytesSent(number))

    override fun onHead(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) = head(this, status, contentType, headers)

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
        note("attempt_failed", arrayOf("attempt" to number, "failure" to failure, "upstream" to grant.primary.upstream))
        feed(FlowInput.AttemptFailed(number, failure, requestId))
    }
}
