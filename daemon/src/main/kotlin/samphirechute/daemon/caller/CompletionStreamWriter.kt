package samphirechute.daemon.caller

import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.net.Exchange
import samphirechute.net.ResponseStream

/**
 * Streams a completion as server-sent events. The id of an event is the offset of the token after its last, and the
 * stream ends with `[DONE]` or with an `error` event; a stream without either was cut off.
 */
internal class CompletionStreamWriter(
    private val exchange: Exchange,
    private val completionJson: CompletionJson,
) : AnswerWriter {
    private var stream: ResponseStream? = null
    override val isWritable: Boolean get() = stream?.isWritable ?: true
    override var onWritable: () -> Unit = {}

    override fun deliver(
        offset: Long,
        texts: List<String>,
    ) {
        val text = if (texts.size == 1) texts[0] else texts.joinToString("")
        write("id: ${offset + texts.size}\ndata: ${completionJson.chunk(text)}\n\n")
    }

    override fun complete() {
        write("data: ${completionJson.finalChunk()}\n\ndata: [DONE]\n\n")
        stream?.finish()
    }

    override fun fail(error: RequestError) {
        val open = stream ?: return exchange.refuse(error)
        write("event: error\ndata: ${ApiJson.encodeToString(ErrorBody.serializer(), error.toBody())}\n\n")
        open.finish()
    }

    private fun write(event: String) = open().write(event.encodeToByteArray())

    private fun open() =
        stream ?: exchange.startStream(200, "text/event-stream", mapOf("Cache-Control" to "no-store")).also {
            it.onWritable = { onWritable() }
            stream = it
        }
}
