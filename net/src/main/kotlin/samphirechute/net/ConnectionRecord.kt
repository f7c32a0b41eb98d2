package samphirechute.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import samphirechute.core.HostPort
import samphirechute.core.log.KeyValueLog
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the calls of one client connection and what arrives on it that is no part of the answer to a call, and logs
 * each of these. Confined to the loop.
 */
internal class ConnectionRecord(
    private val address: HostPort,
) {
    val number = NUMBERS.incrementAndGet()
    private var calls = 0
    private var skippedAnswers = 0
    private var skippedBytes = 0L
    private var current: SkippedAnswer? = null
    private var hasLoggedUnasked = false
    private var lastLabel: String? = null
    private var lastStatus: Int? = null
    private var idIn: (ResponseHead) -> String? = { null }

    /** Counts a call and returns how many there were before it. */
    fun startCall(): Int = calls++

    /** Keeps what names the call that is complete, and nothing else of it, since a connection may stay idle for long. */
    fun endCall(call: ActiveCall) {
        lastLabel = call.label
        lastStatus = call.status
        idIn = call.idIn
    }

    fun use() = ConnectionUse(number, calls, skippedAnswers, skippedBytes)

    /** Begins an answer that is skipped while the call [waiting] waits for its own. */
    fun startSkipped(
        status: Int,
        id: String?,
        waiting: String?,
    ) {
        skippedAnswers++
        current = SkippedAnswer(status, id, waiting)
    }

    fun addSkipped(bytes: Int) {
        skippedBytes += bytes
        current?.let { it.bytes += bytes }
    }

    /** Logs the answer that was being skipped, if there is one; [isWhole] is false if its connection ended before it. */
    fun endSkipped(isWhole: Boolean) {
        val skipped = current ?: return
        current = null
        log.event(
            "answer_skipped",
            mapOf(
                "connection" to number,
                "address" to address,
                "status" to skipped.status,
                "id" to skipped.id?.take(MAX_LOGGED_CHARS),
                "request" to skipped.waiting,
                "bytes" to skipped.bytes,
                "whole" to isWhole,
            ),
        )
    }

    /** Logs the bytes that arrive while no call waits, for which the connection is closed; one line for each connection. */
    fun recordUnasked(bytes: ByteBuf) {
        if (hasLoggedUnasked) return
        hasLoggedUnasked = true
        val head = UnaskedAnswer.headOf(bytes)
        log.event(
            "unasked_bytes",
            mapOf(
                "connection" to number,
                "address" to address,
                "bytes" to bytes.readableBytes(),
                "calls" to calls,
                "after" to lastLabel,
                "after_status" to lastStatus,
                "status" to head?.status,
                "id" to head?.let(idIn)?.take(MAX_LOGGED_CHARS),
            ),
        )
    }

    private class SkippedAnswer(
        val status: Int,
        val id: String?,
        val waiting: String?,
        var bytes: Long = 0,
    )

    private companion object {
        /** An identifier in a foreign answer may be of any length. */
        const val MAX_LOGGED_CHARS = 80
        val NUMBERS = AtomicLong()
        val log = KeyValueLog("connection")
    }
}

/** Closes the connection when bytes arrive while [isIdle]; reports them and keeps them from the decoder. */
internal class UnaskedBytesHandler(
    private val isIdle: () -> Boolean,
    private val onUnasked: (ByteBuf) -> Unit,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is ByteBuf || !isIdle()) {
            context.fireChannelRead(message)
            return
        }
        onUnasked(message)
        message.release()
        context.close()
    }
}
