package samphirechute.net.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** A path of the API between instances, with the types of its request and reply. */
class PeerRoute<Q, A>(
    val path: String,
    val request: KSerializer<Q>,
    val reply: KSerializer<A>,
)

/** The JSON format of messages between instances. */
val PeerJson =
    Json {
        ignoreUnknownKeys = true
        allowStructuredMapKeys = true
    }
