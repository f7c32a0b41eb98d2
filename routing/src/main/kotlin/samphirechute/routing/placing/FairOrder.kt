package samphirechute.routing.placing

/**
 * The order in which waiting requests are tried: streams that have begun, then by priority. Within a priority, teams take
 * turns by the work they were granted, and the requests of one team keep the order of arrival.
 *
 * Prompts with a long prefill and other requests wait for different things, so that teams have separate shares of the two, and a
 * long prompt does not count against the short ones of its team. The two orders are merged by arrival.
 */
internal class FairOrder {
    private val shares = HashMap<Pair<Int, Boolean>, TeamShares>()

    fun recordGrant(request: QueuedRequest) {
        if (request.request.hasBegun) return
        shares(request).charge(request.request.team, request.work.cost)
    }

    fun sort(waiting: Collection<QueuedRequest>): List<QueuedRequest> {
        val (begun, others) = waiting.partition { it.request.hasBegun }
        val byPriority = others.groupBy { it.request.priority }.toSortedMap()
        return begun.sortedWith(compareBy({ it.request.priority }, { it.sequence })) +
            byPriority.values.flatMap { level ->
                val (heavy, light) = level.partition { it.work.isHeavy }
                merge(sortFairly(heavy), sortFairly(light))
            }
    }

    private fun sortFairly(requests: List<QueuedRequest>): List<QueuedRequest> {
        val inArrival = requests.sortedBy { it.sequence }
        val teams = inArrival.map { it.request.team }.toSet()
        if (teams.size <= 1) return inArrival
        val shares = shares(inArrival.first())
        val next = teams.associateWithTo(HashMap()) { shares.start(it) }
        return inArrival
            .map { queued ->
                val start = next.getValue(queued.request.team)
                next[queued.request.team] = start + queued.work.cost
                queued to start
            }.sortedWith(compareBy({ it.second }, { it.first.sequence }))
            .map { it.first }
    }

    private fun merge(
        first: List<QueuedRequest>,
        second: List<QueuedRequest>,
    ): List<QueuedRequest> {
        if (first.isEmpty()) return second
        val merged = ArrayList<QueuedRequest>(first.size + second.size)
        var taken = 0
        for (request in second) {
            while (taken < first.size && first[taken].sequence < request.sequence) merged += first[taken++]
            merged += request
        }
        return merged + first.drop(taken)
    }

    private fun shares(request: QueuedRequest): TeamShares {
        val isHeavy = request.work.isHeavy
        return shares.getOrPut(request.request.priority to isHeavy) {
            TeamShares(if (isHeavy) HEAVY_BURST_MS else LIGHT_BURST_MS)
        }
    }

    private companion object {
        /** About one prompt of 45,000 tokens: the second of two consecutive prompts of a small team goes first too. */
        const val HEAVY_BURST_MS = 300.0

        /** The same for four short prompts. */
        const val LIGHT_BURST_MS = 80.0
    }
}
