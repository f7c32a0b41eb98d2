package samphirechute.net.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** One path between instances with the messages that it carries. */
class PeerRoute<Q, A>(
    val path: String,
    val request: KSerializer<Q>,
    val reply: KSerializer<A>,
)

/** The JSON of messages between instances. */
val PeerJson =
    Json {
        ignoreUnknownKeys = true
        allowStructuredMapKeys = true
    }
