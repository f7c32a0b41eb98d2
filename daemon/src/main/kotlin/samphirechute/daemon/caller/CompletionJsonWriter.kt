package samphirechute.daemon.caller

import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.net.Exchange

/** Collects a completion and sends it as one JSON object. */
internal class CompletionJsonWriter(
    private val exchange: Exchange,
    private val completionJson: CompletionJson,
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
        exchange.respondJson(
            200,
            completionJson.wholeAnswer(text.toString(), CompletionJson.Usage(promptTokens, tokens)),
        )

    override fun fail(error: RequestError) = exchange.refuse(error)
}
