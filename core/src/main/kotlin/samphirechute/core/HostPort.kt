package samphirechute.core

import kotlinx.serialization.Serializable

/** A TCP address by IP number. */
@Serializable
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; null when [text] has another form. */
        fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            if (host.isEmpty() || port == null || port !in 0..MAX_PORT) return null
            return HostPort(host, port)
        }
    }
}
