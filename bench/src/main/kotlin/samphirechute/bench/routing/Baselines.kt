package samphirechute.bench.routing

import samphirechute.core.RequestId
import samphirechute.routing.GrantEnding

/** Each request to the next engine in turn, whatever its length. */
class RoundRobin(
    private val engines: List<String>,
) : Dispatcher {
    private var next = 0

    override fun ask(
        request: SimRequest,
        nowMs: Long,
    ) = listOf(plain(request, engines[next++ % engines.size]))

    override fun ended(
        request: SimRequest,
        ending: GrantEnding,
        nowMs: Long,
    ) = emptyList<Decision>()
}

/**
 * Each request to the engine with the least outstanding requests of the same view. With [views] entry instances each
 * counts only its own requests, as they do without a coordinator.
 */
class LeastOutstanding(
    engines: List<String>,
    private val views: Int = 1,
) : Dispatcher {
    private val engines = engines.toMutableList()
    private val counts = List(views) { HashMap<String, Int>() }
    private val placed = HashMap<RequestId, String>()
    private var turn = 0

    /** Stops or resumes sending to these engines. */
    fun setOut(
        names: Collection<String>,
        isOut: Boolean,
    ) {
        if (isOut) engines.removeAll(names.toSet()) else engines += names
    }

    override fun ask(
        request: SimRequest,
        nowMs: Long,
    ): List<Decision> {
        val view = counts[request.instance % views]
        val first = turn++ % engines.size
        val name = engines.indices.map { engines[(first + it) % engines.size] }.minBy { view[it] ?: 0 }
        view.merge(name, 1, Int::plus)
        placed[request.id] = name
        return listOf(plain(request, name))
    }

    override fun ended(
        request: SimRequest,
        ending: GrantEnding,
        nowMs: Long,
    ): List<Decision> {
        placed.remove(request.id)?.let { counts[request.instance % views].merge(it, -1, Int::plus) }
        return emptyList()
    }
}

private fun plain(
    request: SimRequest,
    engine: String,
) = Decision.Dispatch(request.id, listOf(engine to Long.MAX_VALUE), priority = 0, expectedFirstTokenMs = 0)
