package samphirechute.routing.placing

import samphirechute.core.TeamName
import kotlin.math.max

/**
 * The virtual starts of teams in start-time fair queueing: teams are served in the order of their start, and each granted request
 * moves the start of its team forward by its cost.
 *
 * A team that asks for little starts at most [burst] before the others, so that it is served at once and saves up no claim
 * beyond that.
 */
internal class TeamShares(
    private val burst: Double,
) {
    private val starts = HashMap<TeamName?, Double>()
    private var virtualTime = 0.0

    /** Returns the virtual start of the next request of [team]; requests without a team count as one team. */
    fun start(team: TeamName?): Double = max(starts[team] ?: 0.0, virtualTime - burst)

    fun charge(
        team: TeamName?,
        cost: Double,
    ) {
        val start = start(team)
        virtualTime = max(virtualTime, start)
        starts[team] = start + cost
        if (starts.size > MAX_TEAMS) starts.values.removeIf { it <= virtualTime - burst }
    }

    private companion object {
        const val MAX_TEAMS = 4_096
    }
}
