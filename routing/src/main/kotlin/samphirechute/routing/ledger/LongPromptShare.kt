package samphirechute.routing.ledger

import kotlin.math.ceil
import kotlin.math.exp

/**
 * Limits how many engines of a pool run long prompts at once. The limit follows the share of long prompts in the
 * recently requested prefill, so that neither kind waits while engines reserved for the other are idle. At least one
 * engine takes long prompts and, with two or more engines, at least one does not.
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

    /** The number of [engines] that may run long prompts at once. */
    fun maxEngines(engines: Int): Int {
        if (engines <= 1) return engines
        val all = longTokens + shortTokens
        val share = if (all > 0) longTokens / all else 0.0
        // The margin favours short prompts, because their prefill does not include the time they spend decoding.
        return ceil(engines * share * LONG_MARGIN).toInt().coerceIn(1, engines - 1)
    }

    private companion object {
        const val WINDOW_MS = 60_000.0
        const val LONG_MARGIN = 0.9
    }
}
