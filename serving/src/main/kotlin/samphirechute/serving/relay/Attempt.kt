package samphirechute.serving.relay

import io.netty.buffer.ByteBuf
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ConnectionUse
import samphirechute.net.ResponseHead
import samphirechute.net.ResponseListener
import samphirechute.net.ServerRequest
import java.io.ByteArrayOutputStream

/** Receives the events of a streamed answer as they arrive. */
internal interface EventSink {
    /** Handles an event; returns false if it does not follow the last one. */
    fun onEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean
}

/**
 * Sends a request to one upstream and reads the answer. [Relay] creates one for each placement that it uses.
 *
 * An answer that is not a stream is collected in full before any of it is relayed, so that the request can still be
 * retried if the answer breaks off. Events of a stream are passed to [sink] as soon as each is complete. The result
 * is reported once, unless the attempt is cancelled.
 */
internal class Attempt(
    private val context: RelayContext,
    private val request: ServerRequest,
    private val requestId: RequestId,
    private val sink: EventSink?,
    private val timeouts: AttemptTimeouts,
    /** Called each time that the upstream has sent nothing for its timeout. The attempt goes on until [endAsSilent]. */
    private val onSilent: (Attempt) -> Unit,
    /** Called once when the answer has got beyond its beginning. */
    private val onProgress: (Attempt) -> Unit,
    private val onResult: (Attempt, AttemptResult) -> Unit,
) : ResponseListener {
    private val startedMs = context.timer.nowMs()
    private val body = ByteArrayOutputStream()
    private val splitter = EventSplitter()
    private var head: ResponseHead? = null
    private var answer: UpstreamAnswer? = null
    private var call: ClientCall? = null
    private var silenceTimer: Subscription? = null
    private var upstream: UpstreamId? = null
    private var isSent = false
    private var isDone = false

    /** Time from the start to the first byte of the body, or of the first event that is no comment; null before it. */
    var firstByteMs: Long? = null
        private set

    /** What is known of the connection that the request was sent on; null before that. */
    val connection: ConnectionUse? get() = call?.connection

    private var headMs = 0L

    /** The time between the head of a stream and its first event that is no comment; null before that event. */
    var headLeadMs: Long? = null
        private set

    /** The number of events of a stream that have arrived, comments not counted. */
    var events = 0
        private set

    /** Grows with each part of the answer that shows that the upstream works. */
    val progress: Int get() = events + body.size()

    /** False while the upstream may still be working on the beginning of the answer. */
    val isBeyondBeginning: Boolean get() = events >= BEGINNING_EVENTS

    /** The status of the answer; null before its head has arrived. */
    val status: Int? get() = head?.status

    /** When the request was written to the connection, or when the attempt began if it was not. */
    var sentMs = startedMs
        private set

    /** Start time of the incarnation of the upstream that announced its leaving in the answer, or null. */
    var leavingBornMs: Long? = null
        private set

    /**
     * Sends the request. With [mustRunOnce] it reuses only connections that were idle for a short time, and with
     * [usesNewConnection] none.
     */
    fun start(
        address: HostPort,
        dispatch: Dispatch,
        mustRunOnce: Boolean,
        usesNewConnection: Boolean,
    ) {
        val protocol = context.protocol
        val outgoing =
            ClientRequest(
                address,
                request.method,
                request.uri,
                request.body,
                relayedHeaders = protocol.upstreamHeaders(request, dispatch),
                useFreshConnection = usesNewConnection,
                maxIdleMs = if (mustRunOnce) ONCE_IDLE_MS else IDLE_MS,
                isExpectedResponse = { protocol.readAnswer(it).requestId == requestId },
                label = requestId.value,
                idIn = { protocol.readAnswer(it).requestId?.value },
            )
        upstream = dispatch.upstream
        restartSilenceTimer(timeouts.firstByteMs)
        call = context.client.send(outgoing, this)
    }

    /** Ends the attempt without a result and closes the connection to the upstream. */
    fun cancel() {
        if (isDone) return
        isDone = true
        silenceTimer?.cancel()
        call?.cancel()
    }

    /** Pauses or resumes reading the answer, as the connection to the caller fills and drains. */
    fun setReading(isReading: Boolean) {
        if (!isDone) call?.setReading(isReading)
    }

    override fun onSending() {
        isSent = true
        sentMs = context.timer.nowMs()
    }

    override fun onResponseHead(head: ResponseHead) {
        this.head = head
        headMs = context.timer.nowMs()
        val upstreamAnswer = context.protocol.readAnswer(head)
        answer = upstreamAnswer
        if (upstreamAnswer.isLeaving) leavingBornMs = upstream?.let(context.availability::markLeaving)
        if (upstreamAnswer.isOwn) upstream?.let { context.limits.observe(it, upstreamAnswer.limit, requestId, sentMs) }
        if (head.status in SUCCESS && (!upstreamAnswer.isSigned || upstreamAnswer.isEncoded)) fail("unsigned_answer")
    }

    override fun onBody(piece: ByteBuf) {
        val current = head ?: return
        if (isDone) return
        if (sink != null && isStream(current)) return onStreamBody(current, sink, piece)
        if (firstByteMs == null) firstByteMs = elapsedMs()
        if (body.size() + piece.readableBytes() > MAX_WHOLE_BYTES) return fail("answer_too_large")
        piece.readBytes(body, piece.readableBytes())
        restartSilenceTimer(timeouts.nextEventMs)
    }

    override fun onEnd() {
        val current = head ?: return fail("empty_answer", isBrokenOff = true)
        if (sink != null && isStream(current)) {
            if (firstByteMs == null || !splitter.isAtBoundary) return fail("stream_cut", isBrokenOff = true)
            return finish(AttemptResult.StreamEnded)
        }
        if (firstByteMs == null) firstByteMs = elapsedMs()
        val upstreamAnswer = answer
        finish(
            when {
                upstreamAnswer == null -> {
                    AttemptResult.Lost("empty_answer")
                }

                upstreamAnswer.isMisdirected -> {
                    AttemptResult.NotRun("misdirected", isGone = true, isConnected = true)
                }

                upstreamAnswer.isNotRun -> {
                    AttemptResult.NotRun(
                        "refused_${current.status}",
                        false,
                        isConnected = true,
                        upstreamAnswer.failedHelper,
                        upstreamAnswer.retryAfterMs,
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
                fail("closed", isBrokenOff = true, detail = failure.detail)
            }

            is ClientFailure.Malformed -> {
                fail("malformed", detail = failure.detail)
            }

            is ClientFailure.TimedOut -> {
                fail("timed_out")
            }
        }

    /** Returns false for the answer of an upstream that has not started a stream, which is then relayed whole. */
    private fun isStream(current: ResponseHead): Boolean {
        if (current.status != OK) return false
        val type = current["Content-Type"] ?: return true
        return type.substringBefore(';').trim().equals(EVENT_STREAM, ignoreCase = true)
    }

    private fun onStreamBody(
        current: ResponseHead,
        sink: EventSink,
        piece: ByteBuf,
    ) {
        var hasAdvanced = false
        splitter.add(piece) { event ->
            if (isDone) return@add
            if (!event.isComment) {
                hasAdvanced = true
                events++
                if (events == BEGINNING_EVENTS) onProgress(this)
                if (firstByteMs == null) firstByteMs = elapsedMs()
                if (headLeadMs == null) headLeadMs = context.timer.nowMs() - headMs
            }
            if (!sink.onEvent(current, event)) fail("event_out_of_order")
        }
        if (isDone) return
        if (splitter.pendingBytes > MAX_EVENT_BYTES) return fail("event_too_large")
        // Comments and incomplete events show only that the connection works, so they do not restart the timer.
        if (hasAdvanced) restartSilenceTimer(timeouts.nextEventMs)
    }

    /** Ends the attempt because another upstream takes the request from one that sends nothing. */
    fun endAsSilent() = fail(if (firstByteMs == null) "silent" else "stalled", isStalled = true)

    private fun restartSilenceTimer(limitMs: Long) {
        silenceTimer?.cancel()
        silenceTimer =
            context.timer.after(limitMs) {
                restartSilenceTimer(limitMs)
                onSilent(this)
            }
    }

    private fun fail(
        reason: String,
        isStalled: Boolean = false,
        isBrokenOff: Boolean = false,
        detail: String? = null,
    ) {
        if (isDone) return
        call?.cancel()
        finish(
            if (isSent) {
                AttemptResult.Lost(reason, isStalled, isBrokenOff, detail)
            } else {
                AttemptResult.NotRun(reason, false, isConnected = false)
            },
        )
    }

    private fun finish(result: AttemptResult) {
        if (isDone) return
        isDone = true
        silenceTimer?.cancel()
        onResult(this, result)
    }

    private fun elapsedMs() = context.timer.nowMs() - startedMs

    private companion object {
        const val OK = 200
        const val EVENT_STREAM = "text/event-stream"

        /** An upstream writes an event for each pass, so it has survived the first one. */
        const val BEGINNING_EVENTS = 2
        val SUCCESS = 200..299

        /** Upstreams close idle connections. One that was used recently is unlikely to be closed during a request. */
        const val ONCE_IDLE_MS = 1_500L
        const val IDLE_MS = 8_000L
        const val MAX_WHOLE_BYTES = 4 * 1024 * 1024
        const val MAX_EVENT_BYTES = 1024 * 1024
    }
}
