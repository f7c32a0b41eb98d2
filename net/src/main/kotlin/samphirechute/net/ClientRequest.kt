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
    /** Header lines of a request that is passed on as it came; replaces [headers] and [contentType]. */
    val relayedHeaders: List<HeaderField>? = null,
    /** Pooled connections that were idle for longer than this are not used. */
    val maxIdleMs: Long = Long.MAX_VALUE,
    /** False for an answer to another request, which is skipped; some servers send one late. */
    val isOwnAnswer: (ResponseHead) -> Boolean = { true },
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}
