package samphirechute.net.peer

import kotlinx.serialization.SerializationException
import samphirechute.core.RunState
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.core.api.ErrorDetail
import samphirechute.net.Exchange

/** Answers other instances. A handler gets the message and answers now or later. */
class PeerApi {
    private val handlers = HashMap<String, (Exchange) -> Unit>()

    fun <Q, A> on(
        route: PeerRoute<Q, A>,
        handler: (Q, PeerExchange<A>) -> Unit,
    ) {
        handlers[route.path] = { exchange ->
            val message = read(exchange, route)
            if (message != null) handler(message, PeerExchange(exchange, route))
        }
    }

    fun handle(exchange: Exchange) {
        val path = exchange.request.path
        val handler = handlers[path] ?: return refuse(exchange, UNKNOWN_PATH, "unknown_path", "no such path: $path")
        if (exchange.request.method != "POST") {
            return refuse(exchange, WRONG_METHOD, "wrong_method", "this path accepts POST")
        }
        handler(exchange)
    }

    private fun <Q, A> read(
        exchange: Exchange,
        route: PeerRoute<Q, A>,
    ): Q? =
        try {
            PeerJson.decodeFromString(route.request, exchange.request.body.decodeToString())
        } catch (error: SerializationException) {
            refuse(exchange, INVALID, "invalid_body", "not a message of ${route.path}: ${error.message}")
            null
        }

    private fun refuse(
        exchange: Exchange,
        status: Int,
        code: String,
        message: String,
    ) {
        val error = ErrorBody(ErrorDetail(code, message, RunState.NOT_RUN))
        val body = ApiJson.encodeToString(ErrorBody.serializer(), error)
        exchange.respond(status, "application/json", body.encodeToByteArray())
    }

    private companion object {
        const val INVALID = 400
        const val UNKNOWN_PATH = 404
        const val WRONG_METHOD = 405
    }
}

/** The answer that is owed to another instance. */
class PeerExchange<A>(
    private val exchange: Exchange,
    private val route: PeerRoute<*, A>,
) {
    fun answer(reply: A) = answerEncoded(encode(reply))

    fun encode(reply: A): ByteArray = PeerJson.encodeToString(route.reply, reply).encodeToByteArray()

    /** Answers with the result of [encode], which may serve several exchanges. */
    fun answerEncoded(reply: ByteArray) = exchange.respond(OK, "application/json", reply)

    /** Called when the other instance gives up on the answer. */
    fun onAborted(action: () -> Unit) {
        exchange.onAborted = action
    }

    private companion object {
        const val OK = 200
    }
}
