package samphirechute.net

/** The hop-by-hop headers, which apply to a single connection and must not be forwarded. */
object HopHeaders {
    /** In lower case. */
    val NAMES =
        setOf(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )

    /** Returns true for an end-to-end header, which is forwarded. */
    fun isEndToEnd(field: HeaderField) = field.name.lowercase() !in NAMES
}
