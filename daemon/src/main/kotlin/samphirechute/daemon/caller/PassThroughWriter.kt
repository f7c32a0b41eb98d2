package samphirechute.daemon.caller

import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.net.Exchange

/** Collects the answer of an application and passes it on unchanged. */
internal class PassThroughWriter(
    private val exchange: Exchange,
) : AnswerWriter {
    private var status = 200
    private var contentType = "application/octet-stream"
    private var headers = emptyMap<String, String>()
    private var body = ""
    override val isWritable = true
    override var onWritable: () -> Unit = {}

    override fun head(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) {
        this.status = status
        this.contentType = contentType
        this.headers = headers
    }

    override fun deliver(
        offset: Long,
        texts: List<String>,
    ) {
        body += texts.joinToString("")
    }

    override fun complete() = exchange.respond(status, contentType, body.toByteArray(Charsets.ISO_8859_1), headers)

    override fun fail(error: RequestError) = exchange.refuse(error)
}
