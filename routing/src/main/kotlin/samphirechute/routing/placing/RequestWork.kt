package samphirechute.routing.placing

/**
 * What a request takes from the upstreams of its service. Prompts differ by a factor of sixty, so the order and the expected wait
 * count work instead of requests.
 */
internal class RequestWork(
    /** Prefill time on one engine; 0 for a request to a plain application. */
    val prefillMs: Double,
    val memoryTokens: Long,
) {
    /**
     * True if it waits for engines that have no prefill left. Other requests begin beside prefill and wait for slots, memory or
     * cold upstreams only.
     */
    val isHeavy: Boolean get() = prefillMs > SHORT_PREFILL_MS

    /** What a team is charged for it. */
    val cost: Double get() = maxOf(prefillMs, 1.0)

    companion object {
        /** As in the selection of engines: prompts with a shorter prefill are placed beside others at once. */
        private const val SHORT_PREFILL_MS = 110.0

        fun of(
            engine: EngineProfile?,
            request: PlacementRequest,
        ) = RequestWork(engine?.prefillMs(request.promptTokens) ?: 0.0, request.promptTokens + request.answerTokens)
    }
}
