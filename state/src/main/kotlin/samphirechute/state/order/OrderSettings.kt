package samphirechute.state.order

/**
 * How the leader gives orders. Loads of models and adapters are limited to [loadsPerMinute], with up to [loadBurst]
 * at once. An order without an answer is sent [maxAttempts] times.
 */
data class OrderSettings(
    val loadsPerMinute: Double = 6.0,
    val loadBurst: Double = 2.0,
    val maxAttempts: Int = 5,
    val answerTimeoutMs: Long = 120_000,
    val upstreamWaitMs: Long = 300_000,
)
