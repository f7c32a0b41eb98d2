package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures

/** One of ten teams sends ten times its share. The others should see the first token as if it did not. */
class FairBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) {
            val ledger = ratio(user, seed) { LedgerDispatcher() }
            val least = ratio(user, seed) { LeastOutstanding(user.engineNames) }
            val name = "fair.${user.label}"
            figures.add("$name.others_first_token_p95_ratio", ledger.ratio, least.ratio)
            figures.add("$name.others_first_token_p95_ms", ledger.withMs, least.withMs)
            figures.add("$name.others_refused_or_unfinished", ledger.unfinished, least.unfinished)
        }
    }

    private fun ratio(
        user: User,
        seed: Long,
        dispatcher: () -> Dispatcher,
    ): FairRun {
        val others = Workload(seed, user.engines, LOAD, UNTIL_MS, teams = TEAMS, hasLong = false).requests()
        val extra =
            Workload(seed + 1, user.engines, LOAD * EXTRA, UNTIL_MS, hasLong = false, teamOf = { 0 }).requests()
        val both = (others + extra).sortedBy { it.atMs }.mapIndexed { index, it -> it.numbered(index) }
        val alone = others.map { it.fresh() }
        Simulation(alone, user.engineNames, dispatcher(), seed).run(UNTIL_MS + DRAIN_MS)
        Simulation(both, user.engineNames, dispatcher(), seed).run(UNTIL_MS + DRAIN_MS)
        val aloneMs = measured(alone).filter { it.isDone }.map { it.waitMs }.quantile(0.95)
        val withMs = measured(both).filter { it.isDone }.map { it.waitMs }.quantile(0.95)
        return FairRun(withMs / aloneMs, withMs, measured(both).count { !it.isDone }.toLong())
    }

    private fun measured(requests: List<SimRequest>) = requests.filter { it.team != 0 && it.atMs >= FROM_MS }

    private class FairRun(
        val ratio: Double,
        val withMs: Double,
        val unfinished: Long,
    )

    private companion object {
        const val TEAMS = 10

        /** The load of all teams at their shares. */
        const val LOAD = 0.7

        /** What one team adds to its tenth: nine tenths more make ten times its share. */
        const val EXTRA = 0.9
        const val FROM_MS = 60_000L
        const val UNTIL_MS = 180_000L
        const val DRAIN_MS = 60_000L
    }
}
