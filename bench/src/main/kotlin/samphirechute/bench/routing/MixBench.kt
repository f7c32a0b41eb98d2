package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures

/**
 * Short prompts beside long ones at 50, 80 and 95% of capacity, on the engines of one failure domain of each user.
 * The slowdown of short requests compares the run with that of the same short requests alone.
 */
class MixBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) {
            for (percent in LOADS) measure(user, percent, seed, figures)
            measurePrefixes(user, seed, figures)
        }
    }

    private fun measure(
        user: User,
        percent: Int,
        seed: Long,
        figures: Figures,
    ) {
        val trace = Workload(seed, user.engines, percent / 100.0, UNTIL_MS).requests()
        val ledger = runs(trace, user, seed) { LedgerDispatcher() }
        val least = runs(trace, user, seed) { LeastOutstanding(user.engineNames) }
        val robin = runs(trace, user, seed) { RoundRobin(user.engineNames) }
        val name = "mix.${user.label}.$percent"
        val rows =
            listOf<Pair<String, (MixRun) -> Double>>(
                "short.slowdown_p95" to { it.slowdown },
                "short.total_slowdown_p95" to { it.totalSlowdown },
                "short.first_token_p50_ms" to { it.shortQuantile(0.5) },
                "short.first_token_p95_ms" to { it.shortQuantile(0.95) },
                "long.first_token_p95_ms" to
                    { run ->
                        run.long
                            .filter { it.firstMs >= 0 }
                            .map { it.waitMs }
                            .quantile(0.95)
                    },
                "between_tokens_p95_ms" to { it.gapP95 },
                "short.refused_or_unfinished" to { run -> run.short.count { !it.isDone }.toDouble() },
                "long.refused_or_unfinished" to { run -> run.long.count { !it.isDone }.toDouble() },
            )
        for ((row, value) in rows) figures.add("$name.$row", value(ledger), value(least))
        figures.add("$name.short.first_token_p95_ms.rr", ledger.shortQuantile(0.95), robin.shortQuantile(0.95))
    }

    private fun measurePrefixes(
        user: User,
        seed: Long,
        figures: Figures,
    ) {
        val trace = Workload(seed, user.engines, 0.8, UNTIL_MS, hasLong = false, hasPrefixes = true).requests()
        val parts =
            listOf(LedgerDispatcher(), LeastOutstanding(user.engineNames)).map { dispatcher ->
                val run = trace.map { it.fresh() }
                Simulation(run, user.engineNames, dispatcher, seed).run(UNTIL_MS + DRAIN_MS)
                val late = run.filter { it.atMs >= WARM_UP_MS && it.isDone }
                val prefixTokens = late.sumOf { it.prefix?.tokens ?: 0L }.toDouble()
                late.sumOf { it.cachedTokens } / prefixTokens to late.map { it.waitMs }.quantile(0.95)
            }
        figures.add("mix.${user.label}.prefix.cached_part", parts[0].first, parts[1].first)
        figures.add("mix.${user.label}.prefix.first_token_p95_ms", parts[0].second, parts[1].second)
    }

    private fun runs(
        trace: List<SimRequest>,
        user: User,
        seed: Long,
        dispatcher: () -> Dispatcher,
    ): MixRun {
        val all = trace.map { it.fresh() }
        val alone = trace.filter { !it.isLong }.map { it.fresh() }
        val simulation = Simulation(all, user.engineNames, dispatcher(), seed)
        simulation.run(UNTIL_MS + DRAIN_MS)
        Simulation(alone, user.engineNames, dispatcher(), seed).run(UNTIL_MS + DRAIN_MS)
        return MixRun(all, alone, simulation.gapsMs.getValueAtPercentile(95.0).toDouble())
    }

    private class MixRun(
        all: List<SimRequest>,
        alone: List<SimRequest>,
        val gapP95: Double,
    ) {
        private val measured = all.filter { it.atMs >= WARM_UP_MS }
        val short = measured.filter { !it.isLong }
        val long = measured.filter { it.isLong }
        private val done = short.filter { it.isDone }
        private val doneAlone = alone.filter { it.atMs >= WARM_UP_MS && it.isDone }

        val slowdown = shortQuantile(0.95) / doneAlone.map { it.waitMs }.quantile(0.95)
        val totalSlowdown = done.map { it.totalMs }.quantile(0.95) / doneAlone.map { it.totalMs }.quantile(0.95)

        fun shortQuantile(quantile: Double) = done.map { it.waitMs }.quantile(quantile)
    }

    private companion object {
        val LOADS = listOf(50, 80, 95)
        const val UNTIL_MS = 300_000L
        const val WARM_UP_MS = 60_000L
        const val DRAIN_MS = 300_000L
    }
}

/** The users, with the engines that one of their three failure domains has. */
enum class User(
    val label: String,
    val engines: Int,
) {
    KAVARNA("kavarna", 7),
    RAYHANA("rayhana", 8),
    ;

    val engineNames: List<String> = List(engines) { "e$it" }
}
