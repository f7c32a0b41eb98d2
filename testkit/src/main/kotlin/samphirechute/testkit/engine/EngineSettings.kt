package samphirechute.testkit.engine

/** The size, speed and reporting of a simulated engine. */
data class EngineSettings(
    val maxConcurrency: Int = 32,
    val memoryTokens: Long = 400_000,
    val prefillTokensPerSecond: Double = 40_000.0,
    val decodeStepMs: Double = 15.0,
    /** Prefill tokens that share one step with the decoding requests. */
    val prefillChunkTokens: Long = 2_048,
    val coldConcurrency: Int = 4,
    val coldPrefillTokens: Long = 8_192,
    /** How much slower a cold engine is. */
    val coldFactor: Double = 3.0,
    /** Time of work after which a cold engine is warm. */
    val warmUpMs: Long = 10_000,
    val startsCold: Boolean = false,
    val restartMs: Long = 3_000,
    /** Age of the load that is reported. */
    val reportLagMs: Long = 500,
    /** Age that a cache event has at least when it is reported. */
    val cacheLagMs: Long = 1_000,
    /** Share of reports whose cache events are lost. */
    val cacheLossShare: Double = 0.1,
    val checksFencing: Boolean = false,
)
