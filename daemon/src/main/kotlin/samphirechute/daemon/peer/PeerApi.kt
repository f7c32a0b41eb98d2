package samphirechute.daemon.peer

import kotlinx.serialization.SerializationException
import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.daemon.http.text
import samphirechute.net.Exchange

/** Answers other instances. A handler gets the message and answers now or later. */
internal class PeerApi {
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
        val handler = handlers[path] ?: return exchange.refuse(RequestError.UnknownPath(path))
        if (exchange.request.method != "POST") return exchange.refuse(RequestError.WrongMethod("POST"))
        handler(exchange)
    }

    private fun <Q, A> read(
        exchange: Exchange,
        route: PeerRoute<Q, A>,
    ): Q? =
        try {
            PeerJson.decodeFromString(route.request, exchange.request.text())
        } catch (error: SerializationException) {
            exchange.refuse(RequestError.InvalidBody("not a message of ${route.path}: ${error.message}"))
            null
        }
}

/** The answer that is owed to another instance. */
internal class PeerExchange<A>(
    private val exchange: Exchange,
    private val route: PeerRoute<*, A>,
) {
    fun answer(reply: A) = exchange.respondJson(OK, PeerJson.encodeToString(route.reply, reply))

    /** Called when the other instance gives up on the answer. */
    fun onAborted(action: () -> Unit) {
        exchange.onAborted = action
    }

    private companion object {
        const val OK = 200
    }
}
