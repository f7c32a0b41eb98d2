package samphirechute.routing.placing

import kotlinx.serialization.Serializable

/**
 * How long an engine takes. It works in passes: a pass runs [stepsPerPass] token steps for all requests that write, and
 * reads prompts in between. Several engines may read parts of one prompt, each part with its share of the pairs.
 */
@Serializable
data class EngineProfile(
    val slots: Int,
    val memoryTokens: Long,
    val stepsPerPass: Int,
    val stepMs: Double,
    /** Added to a step by each request that writes. */
    val stepPerRequestMs: Double,
    /** Added to a step by each 1,000 tokens of context. */
    val stepPerThousandContextMs: Double,
    val readTokensPerMs: Double,
    /** For each million pairs of a prompt token and any earlier one. */
    val readPerMillionPairsMs: Double,
    /** The most prompt tokens that are read within one step. */
    val chunkTokens: Int,
    /** Added to a step of a request whose prompt lies on several engines. */
    val hopMs: Double,
) {
    /** The work of reading a prompt of [tokens], on one engine alone. */
    fun prefillMs(tokens: Long): Double {
        val pairs = tokens.toDouble() * tokens / 2
        return tokens / readTokensPerMs + readPerMillionPairsMs * pairs / PAIRS_UNIT
    }

    /** A pass with [writers] requests and [contextTokens] in all, without reading. */
    fun passMs(
        writers: Int,
        contextTokens: Long,
    ): Double {
        if (writers == 0) return 0.0
        val context = stepPerThousandContextMs * contextTokens / CONTEXT_UNIT
        return stepsPerPass * (stepMs + stepPerRequestMs * writers + context)
    }

    private companion object {
        const val PAIRS_UNIT = 1e6
        const val CONTEXT_UNIT = 1_000.0
    }
}
