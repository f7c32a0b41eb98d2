package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures

/**
 * Twice the load that the engines can carry. Goodput counts the tokens of requests that kept their deadlines; capacity
 * is what the same engines complete of the same requests when none has a deadline and each engine is always busy.
 */
class OverloadBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) measure(user, seed, figures)
    }

    private fun measure(
        user: User,
        seed: Long,
        figures: Figures,
    ) {
        val trace = Workload(seed, user.engines, 2.0, UNTIL_MS, hasLong = false).requests()
        val capacity = tokensPerMs(user, trace, RoundRobin(user.engineNames), seed) { it.isDone }
        val ledger = trace.map { it.fresh() }
        val goodput = tokensPerMs(user, ledger, LedgerDispatcher(), seed) { it.isInTime }
        val least = trace.map { it.fresh() }
        val leastGoodput = tokensPerMs(user, least, LeastOutstanding(user.engineNames), seed) { it.isInTime }
        val name = "overload.${user.label}"
        figures.add("$name.goodput_of_capacity", goodput / capacity, leastGoodput / capacity)
        figures.add("$name.prompt_tokens_mean", meanPrompt(ledger), meanPrompt(trace))
        val refused = ledger.filter { it.refusedMs >= 0 }.map { it.refusedMs - it.atMs }
        figures.add("$name.refused_part", refused.size.toDouble() / ledger.size, 0.0)
        figures.add("$name.refusal_p50_ms", refused.quantile(0.5))
        figures.add("$name.refusal_p95_ms", refused.quantile(0.95))
        figures.add("$name.refusal_p99_ms", refused.quantile(0.99))
        figures.add("$name.refusal_max_ms", refused.maxOrNull() ?: 0L)
        figures.add("$name.admitted_late", late(ledger), late(least))
        figures.add("$name.admitted_part_late", late(ledger) / admitted(ledger), late(least) / admitted(least))
    }

    /** Mean over the requests that were not refused, which shows whether longer ones are refused more often. */
    private fun meanPrompt(requests: List<SimRequest>) =
        requests.filter { it.refusedMs < 0 }.map { it.promptTokens }.average()

    private fun admitted(requests: List<SimRequest>) = requests.count { it.dispatchedMs >= 0 }.toDouble()

    private fun late(requests: List<SimRequest>) = requests.count { it.dispatchedMs >= 0 && !it.isInTime }.toDouble()

    private fun tokensPerMs(
        user: User,
        requests: List<SimRequest>,
        dispatcher: Dispatcher,
        seed: Long,
        isGood: (SimRequest) -> Boolean,
    ): Double {
        Simulation(requests, user.engineNames, dispatcher, seed).run(UNTIL_MS + DRAIN_MS)
        val good = requests.filter { it.doneMs in FROM_MS until UNTIL_MS && isGood(it) }
        return good.sumOf { it.promptTokens + it.answerTokens }.toDouble() / (UNTIL_MS - FROM_MS)
    }

    private companion object {
        const val FROM_MS = 60_000L
        const val UNTIL_MS = 180_000L
        const val DRAIN_MS = 60_000L
    }
}
