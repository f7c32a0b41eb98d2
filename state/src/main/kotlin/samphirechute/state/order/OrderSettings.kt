package samphirechute.state.order

/**
 * Settings of [OrderDispatcher].
 *
 * Loads of models and adapters are limited to [loadsPerMinute], with up to [loadBurst] at the same time. An order
 * without an answer within [answerTimeoutMs] is sent up to [maxAttempts] times. An order for an upstream that has not
 * announced itself fails after [upstreamWaitMs].
 */
data class OrderSettings(
    val loadsPerMinute: Double = 6.0,
    val loadBurst: Double = 2.0,
    val maxAttempts: Int = 5,
    val answerTimeoutMs: Long = 120_000,
    val upstreamWaitMs: Long = 300_000,
)
