package samphirechute.net

/** The headers that concern one connection only, and are never passed on. */
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

    fun passes(field: HeaderField) = field.name.lowercase() !in NAMES
}
