package samphirechute.serving.relay

import samphirechute.net.HopHeaders
import samphirechute.net.ResponseHead
import samphirechute.net.ResponseStream
import kotlin.math.max

/**
 * The stream of events to the caller of one request, which several upstreams may write one after the other. It keeps the
 * place at which another upstream has to continue. [Relay] creates one for each request.
 */
internal class RelayedStream(
    private val request: RelayedRequest,
    /** The number of the current sending. */
    private val currentSend: () -> Int,
    /** Pauses or resumes reading the answer of the current attempt. */
    private val setReading: (Boolean) -> Unit,
) : EventSink {
    /** The answer to the caller; null before the first event. */
    var open: ResponseStream? = null
        private set

    /** The sending that started the stream; with another one, the stream is being continued. */
    private var firstSend = 0

    /** False once an event without an identifier was written, after which no upstream can be told where to continue. */
    var canContinue = true
        private set
    var lastEventId = request.caller.lastEventId
        private set
    var longestPauseMs = 0L
        private set
    var firstByteMs: Long? = null
        private set
    private var lastEventMs: Long? = null

    val hasBegun: Boolean get() = open != null

    /** How long the caller has waited: since the last event, or since its request if there was none. */
    val waitedMs: Long get() = request.nowMs - (lastEventMs ?: request.arrivedMs)

    /**
     * Writes an event to the caller. Events that the caller already has are skipped, since an upstream that continues a
     * stream may repeat them. A missing one makes the attempt fail, and so does one without an identifier when a stream is
     * continued, since it may be no part of the stream.
     */
    override fun onEvent(
        head: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        val last = lastEventId
        if (event.id != null && last != null) {
            if (event.id <= last) return true
            if (event.id != last + 1) return false
        }
        if (event.id == null && !event.isComment) {
            if (open != null && currentSend() != firstSend) return false
            canContinue = false
        }
        if (event.id != null) lastEventId = event.id
        val stream = open ?: start(head)
        recordPause()
        stream.write(event.bytes)
        setReading(stream.isWritable)
        return true
    }

    private fun recordPause() {
        val nowMs = request.nowMs
        lastEventMs?.let { longestPauseMs = max(longestPauseMs, nowMs - it) }
        lastEventMs = nowMs
    }

    private fun start(head: ResponseHead): ResponseStream {
        firstByteMs = request.elapsedMs
        request.context.log.recordFirstByte(request.route.name, request.elapsedMs)
        val started = request.exchange.startRelay(head.status, head.fields.filter(HopHeaders::isEndToEnd), null)
        started.onWritable = { setReading(true) }
        open = started
        firstSend = currentSend()
        return started
    }
}
