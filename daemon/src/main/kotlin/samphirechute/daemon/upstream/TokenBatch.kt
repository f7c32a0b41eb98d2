package samphirechute.daemon.upstream

import samphirechute.core.engine.TokenLine

/** Joins the consecutive tokens of one read into one event, since each event has a fixed cost on the loop. */
internal class TokenBatch(
    private val listener: AttemptListener,
) {
    private var requestId = ""
    private var offset = 0L
    private var texts = ArrayList<String>()

    fun add(line: TokenLine) {
        val isNext = line.requestId == requestId && line.offset == offset + texts.size
        if (!isNext) flush()
        if (texts.isEmpty()) {
            requestId = line.requestId
            offset = line.offset
        }
        texts += line.text
    }

    fun flush() {
        if (texts.isEmpty()) return
        val ready = texts
        texts = ArrayList()
        listener.onTokens(requestId, offset, ready)
    }
}
