package samphirechute.serving.relay

import io.netty.buffer.ByteBuf
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ResponseHead
import samphirechute.net.ResponseListener
import samphirechute.net.ServerRequest
import java.io.ByteArrayOutputStream

/** Receives the events of a stream as they come. */
internal interface EventSink {
    /** Passes an event on; false when it does not follow the last one. */
    fun event(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean
}

/**
 * One sending of a request to one upstream. A whole answer is collected before any of it is passed on, so that one that
 * breaks off can still be replaced; events of a stream are passed on as each is complete.
 */
internal class Attempt(
    private val context: RelayContext,
    private val request: ServerRequest,
    private val requestId: RequestId,
    private val events: EventSink?,
    private val limits: AttemptLimits,
    /** False when a stream that is silent for long should be waited for, since no other upstream can carry it on. */
    private val mayReplace: () -> Boolean,
    private val onEnd: (Attempt, AttemptResult) -> Unit,
) : ResponseListener {
    private val startedMs = context.timer.nowMs()
    private val body = ByteArrayOutputStream()
    private val splitter = EventSplitter()
    private var head: ResponseHead? = null
    private var answer: UpstreamAnswer? = null
    private var call: ClientCall? = null
    private var silence: Subscription? = null
    private var upstream: UpstreamId? = null
    private var isSent = false
    private var isDone = false

    /** From the start to the first byte of the body that counts, or null. */
    var firstByteMs: Long? = null
        private set

    /** The start of the upstream's life in which it said that it leaves, or null. */
    var leavingBornMs: Long? = null
        private set

    fun start(
        address: HostPort,
        dispatch: Dispatch,
        isOnce: Boolean,
    ) {
        val outgoing =
            ClientRequest(
                address,
                request.method,
                request.uri,
                request.body,
                relayedHeaders = context.protocol.upstreamHeaders(request, dispatch),
                maxIdleMs = if (isOnce) ONCE_IDLE_MS else IDLE_MS,
                isOwnAnswer = { context.protocol.readAnswer(it).requestId == requestId },
            )
        upstream = dispatch.upstream
        expectWithin(limits.firstByteMs)
        call = context.client.send(outgoing, this)
    }

    /** Ends the attempt without a result; the upstream sees its connection close. */
    fun cancel() {
        if (isDone) return
        isDone = true
        silence?.cancel()
        call?.cancel()
    }

    fun setReading(isReading: Boolean) {
        if (!isDone) call?.setReading(isReading)
    }

    override fun onSending() {
        isSent = true
    }

    override fun onResponseHead(head: ResponseHead) {
        this.head = head
        val read = context.protocol.readAnswer(head)
        answer = read
        if (read.isLeaving) leavingBornMs = upstream?.let(context.availability::markLeaving)
        if (head.status in SUCCESS && (!read.isSigned || read.isEncoded)) fail("unsigned_answer")
    }

    override fun onBody(piece: ByteBuf) {
        val current = head ?: return
        if (isDone) return
        if (events != null && current.status == OK) return take(current, events, piece)
        if (firstByteMs == null) firstByteMs = elapsedMs()
        if (body.size() + piece.readableBytes() > MAX_WHOLE_BYTES) return fail("answer_too_large")
        piece.readBytes(body, piece.readableBytes())
    }

    override fun onEnd() {
        val current = head ?: return fail("empty_answer")
        if (events != null && current.status == OK) {
            if (firstByteMs == null || !splitter.isAtBoundary) return fail("stream_cut")
            return finish(AttemptResult.StreamEnded)
        }
        if (firstByteMs == null) firstByteMs = elapsedMs()
        val read = answer
        finish(
            when {
                read == null -> {
                    AttemptResult.Lost("empty_answer")
                }

                read.isMisdirected -> {
                    AttemptResult.NotRun("misdirected", isGone = true, isConnected = true)
                }

                read.isNotRun -> {
                    AttemptResult.NotRun(
                        "refused_${current.status}",
                        false,
                        isConnected = true,
                        read.atFault,
                        read.retryAfterMs,
                    )
                }

                else -> {
                    AttemptResult.Answered(current, body.toByteArray())
                }
            },
        )
    }

    override fun onFailure(failure: ClientFailure) =
        when (failure) {
            is ClientFailure.ConnectFailed -> {
                finish(AttemptResult.NotRun("connect_failed", isGone = false, isConnected = false))
            }

            is ClientFailure.Closed -> {
                fail("closed")
            }

            is ClientFailure.Malformed -> {
                fail("malformed")
            }

            is ClientFailure.TimedOut -> {
                fail("timed_out")
            }
        }

    private fun take(
        current: ResponseHead,
        sink: EventSink,
        piece: ByteBuf,
    ) {
        var hasAdvanced = false
        splitter.add(piece) { event ->
            if (isDone) return@add
            if (!event.isComment) {
                hasAdvanced = true
                if (firstByteMs == null) firstByteMs = elapsedMs()
            }
            if (!sink.event(current, event)) fail("event_out_of_order")
        }
        if (isDone) return
        if (splitter.pendingBytes > MAX_EVENT_BYTES) return fail("event_too_large")
        // Comments and parts of events show that the connection works, not that the upstream does.
        if (hasAdvanced) expectWithin(limits.nextEventMs)
    }

    private fun expectWithin(limitMs: Long) {
        silence?.cancel()
        val reason = if (firstByteMs == null) "silent" else "stalled"
        silence =
            context.timer.after(limitMs) {
                if (events == null || mayReplace()) fail(reason, isStalled = true) else expectWithin(limitMs)
            }
    }

    private fun fail(
        reason: String,
        isStalled: Boolean = false,
    ) {
        if (isDone) return
        call?.cancel()
        finish(
            if (isSent) {
                AttemptResult.Lost(
                    reason,
                    isStalled,
                )
            } else {
                AttemptResult.NotRun(reason, false, isConnected = false)
            },
        )
    }

    private fun finish(result: AttemptResult) {
        if (isDone) return
        isDone = true
        silence?.cancel()
        onEnd(this, result)
    }

    private fun elapsedMs() = context.timer.nowMs() - startedMs

    private companion object {
        const val OK = 200
        val SUCCESS = 200..299

        /** Upstreams close idle connections; one used a moment ago is unlikely to be closed under a request. */
        const val ONCE_IDLE_MS = 1_500L
        const val IDLE_MS = 8_000L
        const val MAX_WHOLE_BYTES = 4 * 1024 * 1024
        const val MAX_EVENT_BYTES = 1024 * 1024
    }
}
