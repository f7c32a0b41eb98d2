package samphirechute.daemon.upstream

import samphirechute.core.RequestId
import samphirechute.routing.Grant
import samphirechute.routing.flow.AttemptFailure

/** Speaks to one kind of upstream. Each wire format is one implementation, and no decision depends on it. */
internal interface UpstreamProtocol {
    fun start(
        work: UpstreamWork,
        listener: AttemptListener,
    ): UpstreamAttempt

    /** Tells an upstream to stop a request and free its memory. */
    fun cancel(
        grant: Grant,
        requestId: RequestId,
        attempt: Int?,
    )
}

/** One attempt to have a request answered. */
internal class UpstreamWork(
    val grant: Grant,
    val requestId: RequestId,
    val attempt: Int,
    val resumeOffset: Long,
    val remainingMs: Long,
    val useFreshConnection: Boolean,
)

/** An attempt under way. */
internal interface UpstreamAttempt {
    fun cancel()

    fun setReading(isReading: Boolean)
}

/** Follows an attempt; one of [onEnd] and [onFailure] comes last. */
internal interface AttemptListener {
    fun onSending()

    fun onHead(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    )

    fun onTokens(
        requestId: String,
        offset: Long,
        texts: List<String>,
    )

    fun onEnd(
        requestId: String,
        totalTokens: Long,
        cachedTokens: Long,
    )

    /** [requestId] is the request that a refusal names. */
    fun onFailure(
        failure: AttemptFailure,
        requestId: String? = null,
    )
}
