package samphirechute.net

import samphirechute.core.HostPort

/** A request to send. With [useFreshConnection] no pooled connection is used, since one may be silent for good. */
class ClientRequest(
    val address: HostPort,
    val method: String,
    val path: String,
    val body: ByteArray = EMPTY,
    val contentType: String = "application/json",
    val headers: Map<String, String> = emptyMap(),
    val useFreshConnection: Boolean = false,
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}
