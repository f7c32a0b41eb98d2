package samphirechute.daemon.upstream

import io.netty.handler.codec.http.HttpHeaders
import samphirechute.net.HopHeaders

/** The headers that pass through the system: all but those of one connection and those that it sets itself. */
internal object EndToEndHeaders {
    private val OWN = setOf("content-type", "host", "x-deadline-ms", "x-request-id", "x-service", "x-team")

    fun ofRequest(headers: HttpHeaders): Map<String, String> =
        headers.associate { (name, value) -> name.lowercase() to value }.filterKeys(::passes)

    /** [headers] have names in lower case. */
    fun ofResponse(headers: Map<String, String>): Map<String, String> = headers.filterKeys(::passes)

    private fun passes(name: String) = name !in HopHeaders.NAMES && name !in OWN
}
