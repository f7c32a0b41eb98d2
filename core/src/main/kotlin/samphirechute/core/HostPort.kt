package samphirechute.core

import kotlinx.serialization.Serializable

/**
 * A TCP address: the IP address of a host, in square brackets for IPv6, and a port. [parse] does not check that the
 * host is an IP address; the reader of the settings does.
 */
@Serializable
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`. Returns null if [text] has no host or no port from 0 to 65535. */
        fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            if (host.isEmpty() || port == null || port !in 0..MAX_PORT) return null
            return HostPort(host, port)
        }
    }
}
