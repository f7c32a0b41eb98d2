package samphirechute.bench.routing

import samphirechute.routing.UpstreamCapacity

/** The engine that the benches assume: one replica on four accelerators. */
object EngineModel {
    const val DECODE_STEP_MS = 8.0
    const val CHUNK_TOKENS = 640L
    const val CHUNK_TOKEN_MS = 0.02
    const val MEMORY_TOKENS = 400_000L
    const val MAX_CONCURRENCY = 48
    const val COLD_CONCURRENCY = 4
    const val COLD_PREFILL_TOKENS = 16_384L
    const val COLD_SPEED = 0.3
    const val WARM_UP_MS = 20_000L

    /** What an engine prefills while it decodes. */
    const val PREFILL_PER_MS = CHUNK_TOKENS / (DECODE_STEP_MS + CHUNK_TOKENS * CHUNK_TOKEN_MS)

    val CAPACITY =
        UpstreamCapacity(
            maxConcurrency = MAX_CONCURRENCY,
            memoryTokens = MEMORY_TOKENS,
            prefillTokensPerSecond = PREFILL_PER_MS * 1_000,
            decodeStepMs = DECODE_STEP_MS,
            coldConcurrency = COLD_CONCURRENCY,
            coldPrefillTokens = COLD_PREFILL_TOKENS,
        )
}
