package samphirechute.daemon.caller

import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.net.Exchange

/** Collects a completion and answers with it as one JSON object. */
internal class WholeWriter(
    private val exchange: Exchange,
    private val chunks: CompletionChunks,
    private val promptTokens: Long,
) : AnswerWriter {
    private val text = StringBuilder()
    private var tokens = 0L
    override val isWritable = true
    override var onWritable: () -> Unit = {}

    override fun deliver(
        offset: Long,
        texts: List<String>,
    ) {
        texts.forEach(text::append)
        tokens += texts.size
    }

    override fun complete() =
        exchange.respondJson(200, chunks.whole(text.toString(), CompletionChunks.Usage(promptTokens, tokens)))

    override fun fail(error: RequestError) = exchange.refuse(error)
}
