package samphirechute.net

/** The limits of a [HttpServer] on requests, connections and waiting times. */
data class ServerLimits(
    val maxHeadBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedBytes: Long = 24L * 1024 * 1024,
    val maxConnections: Int = 4_096,
    /** The memory that the heads of all requests may take, see [RequestMemory]. */
    val maxHeadMemoryBytes: Long = defaultHeadMemoryBytes(),
    val readTimeoutMs: Long = 10_000,
    val keepAliveMs: Long = 60_000,
    /** How many connections may wait to be accepted; further ones are not established. */
    val backlog: Int = 1_024,
) {
    companion object {
        /** Holds the largest head of a client, so that no client reaches the limit alone. */
        const val MIN_HEAD_MEMORY_BYTES = 4L * 1024 * 1024

        /** Beside the heads, the heap holds bodies twice and what the process keeps itself. */
        private const val HEAP_PART = 8

        /** The default of [ServerLimits.maxHeadMemoryBytes] for the heap of this process. */
        fun defaultHeadMemoryBytes(): Long = maxOf(MIN_HEAD_MEMORY_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PART)
    }
}
