package samphirechute.net

/** The limits of a [HttpServer] on requests, connections and waiting times. */
data class ServerLimits(
    val maxHeadBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedBytes: Long = 24L * 1024 * 1024,
    val maxConnections: Int = 4_096,
    val readTimeoutMs: Long = 10_000,
    val keepAliveMs: Long = 60_000,
    /** How many connections may wait to be accepted; further ones are not established. */
    val backlog: Int = 1_024,
)
