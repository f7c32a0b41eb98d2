package samphirechute.routing.ledger

import kotlin.math.ceil
import kotlin.math.exp

/**
 * The share of the engines of a pool that may run long prompts at once. It follows the share that long prompts have of
 * the prefill asked for lately, so that neither kind waits while engines set aside for the other are idle. At least
 * one engine takes long prompts, and at least one does not when there are two.
 */
internal class LongPromptShare {
    private var longTokens = 0.0
    private var shortTokens = 0.0
    private var updatedMs = 0L

    fun recordDemand(
        tokens: Long,
        isLong: Boolean,
        nowMs: Long,
    ) {
        val decay = exp(-(nowMs - updatedMs) / WINDOW_MS)
        updatedMs = nowMs
        longTokens *= decay
        shortTokens *= decay
        if (isLong) longTokens += tokens else shortTokens += tokens
    }

    /** How many of [engines] may run long prompts. */
    fun maxEngines(engines: Int): Int {
        if (engines <= 1) return engines
        val all = longTokens + shortTokens
        val share = if (all > 0) longTokens / all else 0.0
        // Short prompts also decode, which their prefill does not show; hence the margin in their favour.
        return ceil(engines * share * LONG_MARGIN).toInt().coerceIn(1, engines - 1)
    }

    private companion object {
        const val WINDOW_MS = 60_000.0
        const val LONG_MARGIN = 0.9
    }
}
