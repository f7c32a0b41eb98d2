package samphirechute.net

import samphirechute.core.HostPort

/**
 * A request to send with [HttpClient]. With [useFreshConnection] a new connection is opened, for cases where a pooled
 * one may have stopped responding without being closed. With [closesConnection] the connection carries no later
 * request.
 */
class ClientRequest(
    val address: HostPort,
    val method: String,
    val path: String,
    val body: ByteArray = EMPTY,
    val contentType: String = "application/json",
    val headers: Map<String, String> = emptyMap(),
    val useFreshConnection: Boolean = false,
    val closesConnection: Boolean = false,
    /** The headers of a relayed request, sent unchanged instead of [headers] and [contentType]. */
    val relayedHeaders: List<HeaderField>? = null,
    /** Pooled connections that have been idle for longer than this are not used. */
    val maxIdleMs: Long = Long.MAX_VALUE,
    /**
     * Returns false for a response to another request, which is then skipped. Some servers send a late response to an
     * earlier request on the same connection.
     */
    val isExpectedResponse: (ResponseHead) -> Boolean = { true },
    /** Names the request in log lines. */
    val label: String? = null,
    /**
     * Returns the identifier in the head of a response, or null if it has none: names a response that is skipped in log
     * lines, and tells the head of another response in a body from other text.
     */
    val idIn: (ResponseHead) -> String? = { null },
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}
