package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures

/**
 * Three engines restart cold at once, without an announcement, while 15 instances dispatch. An engine is back at full
 * rate when it completes as much as the engines that did not restart.
 */
class ColdBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) {
            val ledger = measure(user, seed, LedgerDispatcher())
            val least = measure(user, seed, LeastOutstanding(user.engineNames, views = SimRequest.INSTANCES))
            val name = "cold.${user.label}"
            figures.add("$name.overloads", ledger.overloads, least.overloads)
            figures.add("$name.full_rate_after_ms", ledger.fullRateMs, EngineModel.WARM_UP_MS)
            figures.add("$name.first_token_p95_ms", ledger.firstTokenP95, least.firstTokenP95)
            figures.add("$name.refused_or_unfinished", ledger.unfinished, least.unfinished)
        }
    }

    private fun measure(
        user: User,
        seed: Long,
        dispatcher: Dispatcher,
    ): ColdRun {
        val requests = Workload(seed, user.engines, LOAD, UNTIL_MS, hasLong = false).requests()
        val names = user.engineNames.take(RESTARTED)
        val samples = ArrayList<Pair<Long, List<Long>>>()
        val actions = ArrayList<Pair<Long, (Simulation) -> Unit>>()
        actions += RESTART_MS to { simulation: Simulation -> names.forEach(simulation::restart) }
        for (atMs in RESTART_MS..UNTIL_MS step SAMPLE_MS) {
            actions += atMs to { sim: Simulation -> samples += atMs to sim.engines.values.map { it.doneTokens } }
        }
        val simulation = Simulation(requests, user.engineNames, dispatcher, seed)
        simulation.run(UNTIL_MS + DRAIN_MS, actions)
        val after = requests.filter { it.atMs in RESTART_MS until UNTIL_MS }
        return ColdRun(
            overloads =
                simulation.engines.values
                    .sumOf { it.overloads }
                    .toLong(),
            fullRateMs = fullRateMs(samples),
            firstTokenP95 = after.filter { it.isDone }.map { it.waitMs }.quantile(0.95),
            unfinished = after.count { !it.isDone }.toLong(),
        )
    }

    /** The time after the restart at which the restarted engines complete 90% of what the others do, per engine. */
    private fun fullRateMs(samples: List<Pair<Long, List<Long>>>): Long {
        for ((before, after) in samples.zipWithNext()) {
            val done = after.second.zip(before.second) { a, b -> (a - b).toDouble() }
            val ratio = done.take(RESTARTED).average() / done.drop(RESTARTED).average()
            if (ratio >= FULL_RATE) return after.first - RESTART_MS
        }
        return -1
    }

    private class ColdRun(
        val overloads: Long,
        val fullRateMs: Long,
        val firstTokenP95: Double,
        val unfinished: Long,
    )

    private companion object {
        const val LOAD = 0.6
        const val RESTARTED = 3
        const val RESTART_MS = 90_000L
        const val UNTIL_MS = 240_000L
        const val DRAIN_MS = 60_000L
        const val SAMPLE_MS = 5_000L
        const val FULL_RATE = 0.9
    }
}
