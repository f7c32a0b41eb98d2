package samphirechute.net.peer

import kotlinx.serialization.SerializationException
import samphirechute.core.RunState
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.core.api.ErrorDetail
import samphirechute.net.Exchange

/**
 * Routes the requests of other instances to handlers by path. A handler receives the decoded message and answers it at
 * once or later through its [PeerExchange].
 */
class PeerApi {
    private val handlers = HashMap<String, (Exchange) -> Unit>()

    /** Registers the handler of a route. */
    fun <Q, A> on(
        route: PeerRoute<Q, A>,
        handler: (Q, PeerExchange<A>) -> Unit,
    ) {
        handlers[route.path] = { exchange ->
            val message = decodeRequest(exchange, route)
            if (message != null) handler(message, PeerExchange(exchange, route))
        }
    }

    /** Passes a request to the handler of its path, or responds with an error. */
    fun handle(exchange: Exchange) {
        val path = exchange.request.path
        val handler = handlers[path] ?: return refuse(exchange, UNKNOWN_PATH, "unknown_path", "no such path: $path")
        if (exchange.request.method != "POST") {
            return refuse(exchange, WRONG_METHOD, "wrong_method", "this path accepts POST")
        }
        handler(exchange)
    }

    private fun <Q, A> decodeRequest(
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

/** A pending request of another instance, to be answered exactly once. */
class PeerExchange<A>(
    private val exchange: Exchange,
    private val route: PeerRoute<*, A>,
) {
    fun answer(reply: A) = answerEncoded(encode(reply))

    fun encode(reply: A): ByteArray = PeerJson.encodeToString(route.reply, reply).encodeToByteArray()

    /** Answers with a result of [encode], which may be shared by several exchanges. */
    fun answerEncoded(reply: ByteArray) = exchange.respond(OK, "application/json", reply)

    /** Sets the action to run when the other instance disconnects before it is answered. */
    fun onAborted(action: () -> Unit) {
        exchange.onAborted = action
    }

    private companion object {
        const val OK = 200
    }
}
