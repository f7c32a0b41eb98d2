package samphirechute.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import java.io.ByteArrayOutputStream

/** A complete response. Header names are in lower case. */
class ClientResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: ByteArray,
)

/** Collects a whole response for [HttpClient.call] and cancels the call when it is too large or takes too long. */
internal class ResponseCollector(
    private val timeoutMs: Long,
    private val maxBytes: Int,
    timer: TimerService,
    private val beforeSend: () -> Unit,
    private val onResult: (Result<ClientResponse, ClientFailure>) -> Unit,
) : ResponseListener {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers = emptyMap<String, String>()
    private var call: ClientCall? = null
    private var isDone = false
    private val timeout: Subscription = timer.after(timeoutMs) { abort(ClientFailure.TimedOut(timeoutMs)) }

    /** Sets the call to cancel; cancels it at once when this has already ended, as it can while the call starts. */
    fun attach(call: ClientCall) {
        this.call = call
        if (isDone) call.cancel()
    }

    override fun onSending() = beforeSend()

    override fun onHead(
        status: Int,
        headers: Map<String, String>,
    ) {
        this.status = status
        this.headers = headers
    }

    override fun onBody(piece: ByteBuf) {
        if (body.size() + piece.readableBytes() > maxBytes) {
            abort(ClientFailure.Malformed("the response is larger than $maxBytes bytes"))
            return
        }
        piece.readBytes(body, piece.readableBytes())
    }

    override fun onEnd() = finish(Ok(ClientResponse(status, headers, body.toByteArray())))

    override fun onFailure(failure: ClientFailure) = finish(Err(failure))

    private fun abort(failure: ClientFailure) {
        call?.cancel()
        finish(Err(failure))
    }

    private fun finish(result: Result<ClientResponse, ClientFailure>) {
        if (isDone) return
        isDone = true
        timeout.cancel()
        onResult(result)
    }
}
