package samphirechute.routing.placing

import kotlinx.serialization.Serializable

/**
 * The timing of the engines of one service, from the configuration.
 *
 * An engine works in passes: a pass runs [stepsPerPass] decode steps for all requests that decode, and prompts are
 * prefilled between passes. Several engines may prefill parts of one prompt, each with its share of the token pairs.
 */
@Serializable
data class EngineProfile(
    val slots: Int,
    val memoryTokens: Long,
    val stepsPerPass: Int,
    val stepMs: Double,
    /** Added to a step by each request that decodes. */
    val stepPerRequestMs: Double,
    /** Added to a step by each 1,000 tokens of context. */
    val stepPerThousandContextMs: Double,
    val readTokensPerMs: Double,
    /** Prefill time for each million pairs of a prompt token and an earlier one. */
    val readPerMillionPairsMs: Double,
    /** The maximum number of prompt tokens that are prefilled in one step. */
    val chunkTokens: Int,
    /** Added to a step of a request whose prompt is stored on several engines. */
    val hopMs: Double,
) {
    /** Returns the time in which one engine prefills a prompt of [tokens]. */
    fun prefillMs(tokens: Long): Double {
        val pairs = tokens.toDouble() * tokens / 2
        return tokens / readTokensPerMs + readPerMillionPairsMs * pairs / PAIRS_UNIT
    }

    /** Returns the time of a pass for [decodingRequests] requests with [contextTokens] in total, without prefill. */
    fun passMs(
        decodingRequests: Int,
        contextTokens: Long,
    ): Double {
        if (decodingRequests == 0) return 0.0
        val context = stepPerThousandContextMs * contextTokens / CONTEXT_UNIT
        return stepsPerPass * (stepMs + stepPerRequestMs * decodingRequests + context)
    }

    private companion object {
        const val PAIRS_UNIT = 1e6
        const val CONTEXT_UNIT = 1_000.0
    }
}
