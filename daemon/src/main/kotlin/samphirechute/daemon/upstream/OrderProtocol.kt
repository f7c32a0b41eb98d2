package samphirechute.daemon.upstream

import com.github.michaelbull.result.fold
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import samphirechute.core.engine.OrderBody
import samphirechute.core.engine.RefusalBody
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.HttpClient
import samphirechute.state.command.UpstreamOrder
import samphirechute.state.order.OrderAnswer
import samphirechute.state.order.OrderOutput

/** The HTTP protocol by which engines take orders. */
internal class OrderProtocol(
    private val client: HttpClient,
) {
    /** Sends an order; [onAnswer] is called once, at the latest after [timeoutMs]. */
    fun send(
        order: OrderOutput.Send,
        timeoutMs: Long,
        onAnswer: (OrderAnswer, String) -> Unit,
    ) {
        val element = json.encodeToJsonElement(UpstreamOrder.serializer(), order.order)
        val body = OrderBody(order.operationId.value, order.fencingNumber, element)
        val bytes = json.encodeToString(OrderBody.serializer(), body).encodeToByteArray()
        val request =
            ClientRequest(
                order.address,
                "POST",
                "/v1/orders",
                bytes,
                useFreshConnection = true,
                closesConnection = true,
            )
        client.call(request, timeoutMs) { result ->
            result.fold({ onAnswer(answer(it), "status ${it.status}") }, { onAnswer(answer(it), it.message) })
        }
    }

    private fun answer(response: ClientResponse) =
        when {
            response.status == OK -> OrderAnswer.DONE
            response.status == CONFLICT && code(response) == OLD_FENCING -> OrderAnswer.STALE_FENCING
            response.status in CLIENT_ERRORS -> OrderAnswer.FAILED
            else -> OrderAnswer.UNKNOWN
        }

    private fun answer(failure: ClientFailure): OrderAnswer =
        when (failure) {
            is ClientFailure.ConnectFailed,
            is ClientFailure.Closed,
            is ClientFailure.Malformed,
            is ClientFailure.TimedOut,
            -> OrderAnswer.UNKNOWN
        }

    private fun code(response: ClientResponse): String? =
        try {
            json.decodeFromString(RefusalBody.serializer(), response.body.decodeToString()).code
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val OLD_FENCING = "old_fencing_number"
        val CLIENT_ERRORS = 400..499
        val json = Json { ignoreUnknownKeys = true }
    }
}
