package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.FailureDomain

/**
 * An operator drains one of three failure domains; later it returns with all its engines restarted cold. The baseline
 * sends to the engine with the least outstanding requests of all domains that are in service, and knows at once.
 */
class DomainBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        for (user in User.entries) {
            val ledger = measureLedger(user, seed)
            val least = measureLeast(user, seed)
            val name = "domain.${user.label}"
            figures.add("$name.steady.first_token_p95_ms", ledger.steadyMs, least.steadyMs)
            figures.add(
                "$name.leaving.first_token_p95_ratio",
                ledger.outMs / ledger.steadyMs,
                least.outMs / least.steadyMs,
            )
            figures.add(
                "$name.return.first_token_p95_ratio",
                ledger.backMs / ledger.steadyMs,
                least.backMs / least.steadyMs,
            )
            figures.add("$name.admitted_lost", ledger.lost, least.lost)
            figures.add("$name.refused", ledger.refused, least.refused)
            figures.add("$name.new_work_after_3s", ledger.lateWork, least.lateWork)
            figures.add("$name.last_new_work_ms", ledger.lastWorkMs, least.lastWorkMs)
            figures.add("$name.cold_overloads", ledger.overloads, least.overloads)
        }
    }

    private fun measureLedger(
        user: User,
        seed: Long,
    ): DomainRun {
        val dispatcher = DomainDispatcher(DOMAINS)
        return measure(user, seed, dispatcher) { isDrained, simulation ->
            simulation.apply(dispatcher.setDrained(DOMAINS.first(), isDrained, simulation.timer.nowMs()))
        }
    }

    private fun measureLeast(
        user: User,
        seed: Long,
    ): DomainRun {
        val dispatcher = LeastOutstanding(namesOf(user))
        return measure(user, seed, dispatcher) { isDrained, simulation ->
            dispatcher.setOut(simulation.engines.keys.filter { domainOf(it) == DOMAINS.first() }, isDrained)
        }
    }

    private fun measure(
        user: User,
        seed: Long,
        dispatcher: Dispatcher,
        drain: (Boolean, Simulation) -> Unit,
    ): DomainRun {
        val names = namesOf(user)
        val requests = Workload(seed, names.size, LOAD, UNTIL_MS, hasLong = false).requests()
        val simulation = Simulation(requests, names, dispatcher, seed, ::domainOf)
        val actions =
            listOf<Pair<Long, (Simulation) -> Unit>>(
                OUT_MS to { drain(true, it) },
                BACK_MS - RESTART_BEFORE_MS to
                    { sim -> names.filter { domainOf(it) == DOMAINS.first() }.forEach(sim::restart) },
                BACK_MS to { drain(false, it) },
            )
        simulation.run(UNTIL_MS + DRAIN_MS, actions)
        val out =
            simulation.dispatches.filter { (atMs, name) ->
                atMs in OUT_MS until BACK_MS &&
                    domainOf(name) == DOMAINS.first()
            }

        fun p95(range: LongRange) = requests.filter { it.atMs in range && it.isDone }.map { it.waitMs }.quantile(0.95)
        return DomainRun(
            steadyMs = p95(STEADY_MS until OUT_MS),
            outMs = p95(OUT_MS until BACK_MS),
            backMs = p95(BACK_MS until UNTIL_MS),
            lost = requests.count { it.dispatchedMs >= 0 && !it.isDone }.toLong(),
            refused = requests.count { it.refusedMs >= 0 && it.atMs >= STEADY_MS }.toLong(),
            lateWork = out.count { (atMs, _) -> atMs > OUT_MS + 3_000 }.toLong(),
            lastWorkMs = out.maxOfOrNull { (atMs, _) -> atMs - OUT_MS } ?: 0L,
            overloads =
                simulation.engines.values
                    .sumOf { it.overloads }
                    .toLong(),
        )
    }

    private class DomainRun(
        val steadyMs: Double,
        val outMs: Double,
        val backMs: Double,
        val lost: Long,
        val refused: Long,
        val lateWork: Long,
        val lastWorkMs: Long,
        val overloads: Long,
    )

    private companion object {
        val DOMAINS = listOf("a", "b", "c").map(::FailureDomain)

        /** Two domains carry it at 75% of their capacity. */
        const val LOAD = 0.5
        const val STEADY_MS = 60_000L
        const val OUT_MS = 120_000L
        const val BACK_MS = 180_000L
        const val RESTART_BEFORE_MS = 2_000L
        const val UNTIL_MS = 260_000L
        const val DRAIN_MS = 60_000L

        fun namesOf(user: User) = DOMAINS.flatMap { domain -> List(user.engines) { "$domain-e$it" } }

        fun domainOf(name: String) = FailureDomain(name.substringBefore('-'))
    }
}
