package samphirechute.daemon.upstream

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import samphirechute.core.RequestId
import samphirechute.core.api.ApiHeaders
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.HttpClient
import samphirechute.net.ResponseListener
import samphirechute.net.ServerRequest
import samphirechute.routing.Grant
import samphirechute.routing.flow.AttemptFailure

/**
 * Passes a request on to a plain service and its answer back, as one piece. A service need not name the request in its
 * answer, so each request has a connection of its own: on one that was used before, the late copy of an earlier answer
 * could not be told from the answer.
 */
internal class ApplicationProtocol(
    private val client: HttpClient,
    private val source: ServerRequest,
    private val uri: String,
) : UpstreamProtocol {
    override fun start(
        work: UpstreamWork,
        listener: AttemptListener,
    ): UpstreamAttempt {
        val request =
            ClientRequest(
                work.grant.primary.address,
                source.method,
                uri,
                source.body,
                source.header("Content-Type") ?: "application/octet-stream",
                EndToEndHeaders.ofRequest(source.headers) + ownHeaders(work),
                useFreshConnection = true,
                closesConnection = true,
                idIn = { it[REQUEST_ID] },
            )
        return ApplicationAttempt(client, request, work, listener)
    }

    private fun ownHeaders(work: UpstreamWork) =
        mapOf(REQUEST_ID to work.requestId.value, ApiHeaders.DEADLINE_MS to work.remainingMs.toString())

    /** Closing the connection is all that a plain service understands. */
    override fun cancel(
        grant: Grant,
        requestId: RequestId,
        attempt: Int?,
    ) = Unit

    private class ApplicationAttempt(
        client: HttpClient,
        request: ClientRequest,
        private val work: UpstreamWork,
        private val listener: AttemptListener,
    ) : UpstreamAttempt {
        private val call: ClientCall
        private var isDone = false

        init {
            call = client.call(request, work.remainingMs, MAX_ANSWER_BYTES, listener::onSending, ::answered)
        }

        override fun cancel() {
            isDone = true
            call.cancel()
        }

        override fun setReading(isReading: Boolean) = call.setReading(isReading)

        private fun answered(result: Result<ClientResponse, ClientFailure>) {
            if (isDone) return
            isDone = true
            result.fold({ answer(it) }, { listener.onFailure(it.toAttemptFailure()) })
        }

        /** Only a refusal that names the request promises that it was not run; other errors are answers. */
        private fun isRefusal(response: ClientResponse) =
            refusal(response.status) == AttemptFailure.REFUSED &&
                EngineProtocol.refusedRequest(response.body.decodeToString()) == work.requestId.value

        private fun answer(response: ClientResponse) {
            if (isRefusal(response)) return listener.onFailure(AttemptFailure.REFUSED, work.requestId.value)
            val requestId = response.headers[REQUEST_ID.lowercase()] ?: work.requestId.value
            if (requestId != work.requestId.value) return listener.onFailure(AttemptFailure.GARBAGE)
            val contentType = response.headers["content-type"] ?: "application/octet-stream"
            listener.onHead(response.status, contentType, EndToEndHeaders.ofResponse(response.headers))
            listener.onTokens(requestId, 0, listOf(String(response.body, Charsets.ISO_8859_1)))
            listener.onEnd(requestId, 1, 0)
        }
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val MAX_ANSWER_BYTES = 4 * 1024 * 1024
    }
}
