package samphirechute.routing.ledger

import samphirechute.core.TeamName
import samphirechute.core.service.Urgency
import samphirechute.routing.GrantKey
import java.util.TreeSet

/**
 * Orders waiting requests by strict priority between urgency classes, with aging, and by weighted fair queueing between
 * the teams of a class.
 *
 * It uses start-time fair queueing: teams are served in the order of their virtual start, and each granted request
 * moves the virtual start of its team forward by its tokens divided by the share of the team.
 */
internal class FairQueue(
    private val agingMs: Long,
) {
    private val levels = List(Urgency.entries.size) { Level() }
    private val entries = HashMap<GrantKey, Entry>()

    val size: Int get() = entries.size
    val isEmpty: Boolean get() = entries.isEmpty()
    val tokens: Long get() = levels.sumOf { it.tokens }

    operator fun contains(key: GrantKey) = key in entries

    fun add(waiting: WaitingRequest) = insert(waiting, waiting.request.urgency.ordinal)

    fun remove(key: GrantKey): WaitingRequest? = entries.remove(key)?.let { it.level.remove(key, it.team) }

    /** True when the team of [waiting] has recently been served less than its share. */
    fun isBelowShare(waiting: WaitingRequest) = levels[waiting.request.urgency.ordinal].isBelowShare(waiting)

    /** Charges the team of a request that was granted without waiting. */
    fun charge(waiting: WaitingRequest) {
        val level = levels[waiting.request.urgency.ordinal]
        level.charge(level.team(waiting), waiting)
    }

    /**
     * Offers the next request of each team to [tryGrant], in order, until one is granted or refused, and removes that
     * one. Tries at most [MAX_TRIES] requests, so that one that no available upstream may serve does not block the
     * others. Only a granted request is charged to its team.
     */
    fun offer(tryGrant: (WaitingRequest) -> OfferResult): OfferResult {
        var tries = 0
        for (level in levels) {
            for (team in level.queuedTeams) {
                if (tries++ >= MAX_TRIES) return OfferResult.NO_ROOM
                val waiting = team.requests.first()
                val offer = tryGrant(waiting)
                if (offer == OfferResult.NO_ROOM) continue
                entries.remove(waiting.key)
                level.remove(waiting.key, team)
                if (offer == OfferResult.GRANTED) level.charge(team, waiting)
                return offer
            }
        }
        return OfferResult.NO_ROOM
    }

    /** The number of queued tokens that will be served before [waiting] if nothing else arrives. */
    fun tokensAhead(waiting: WaitingRequest): Long {
        var ahead = 0L
        for (index in 0 until waiting.request.urgency.ordinal) ahead += levels[index].tokens
        val level = levels[waiting.request.urgency.ordinal]
        val own = level.teams[waiting.request.team]
        val ownTokens = own?.tokens ?: 0L
        val fair = ownTokens.toDouble() * level.shares / waiting.share
        return ahead + minOf(level.tokens, fair.toLong())
    }

    /**
     * Moves the next request of each class up by one class if it has waited for one aging period per class so far. Only
     * the next request moves: otherwise a team that has flooded its class could get ahead of the other teams by
     * waiting.
     */
    fun age(nowMs: Long) {
        for (index in 1 until levels.size) {
            val head =
                levels[index]
                    .queuedTeams
                    .firstOrNull()
                    ?.requests
                    ?.first() ?: continue
            val periods = head.request.urgency.ordinal - index + 1
            if (nowMs - head.askedMs < agingMs * periods) continue
            remove(head.key)
            insert(head, index - 1)
        }
    }

    /** Removes and returns all waiting requests that match [predicate]. */
    fun removeIf(predicate: (WaitingRequest) -> Boolean): List<WaitingRequest> {
        if (isEmpty) return emptyList()
        val found = levels.flatMap { level -> level.queuedTeams.flatMap { it.requests.filter(predicate) } }
        found.forEach { remove(it.key) }
        return found
    }

    /** The newest request of the team with the most queued tokens per share, in the least urgent non-empty class. */
    fun heaviestRequest(): WaitingRequest? {
        val level = levels.lastOrNull { it.queuedTeams.isNotEmpty() } ?: return null
        val team = level.queuedTeams.maxByOrNull { it.tokens / it.share.toDouble() }
        return team?.requests?.last()
    }

    /** The queued tokens of the team of [waiting] in its class, per unit of share. */
    fun queuedTokensPerShare(waiting: WaitingRequest): Double {
        val team = levels[waiting.request.urgency.ordinal].teams[waiting.request.team]
        return (team?.tokens ?: 0L) / waiting.share.toDouble()
    }

    private fun insert(
        waiting: WaitingRequest,
        index: Int,
    ) {
        entries[waiting.key] = Entry(levels[index], levels[index].add(waiting))
    }

    private class Entry(
        val level: Level,
        val team: TeamQueue,
    )

    private class TeamQueue(
        val name: TeamName,
        val creationIndex: Long,
    ) {
        val requests = ArrayDeque<WaitingRequest>()
        var tokens = 0L
        var share = 1
        var virtualStart = 0.0
    }

    private class Level {
        val teams = HashMap<TeamName, TeamQueue>()
        val queuedTeams = TreeSet<TeamQueue>(compareBy({ it.virtualStart }, { it.creationIndex }))
        var tokens = 0L
        var shares = 0
        private var virtualTime = 0.0
        private var nextCreationIndex = 0L

        fun team(waiting: WaitingRequest): TeamQueue {
            if (teams.size > MAX_IDLE_TEAMS) removeIdleTeams()
            val team = teams.getOrPut(waiting.request.team) { TeamQueue(waiting.request.team, nextCreationIndex++) }
            if (team.requests.isEmpty()) {
                team.share = waiting.share
                team.virtualStart = maxOf(team.virtualStart, virtualTime - BURST_TOKENS)
            }
            return team
        }

        fun isBelowShare(waiting: WaitingRequest) = (teams[waiting.request.team]?.virtualStart ?: 0.0) < virtualTime

        fun add(waiting: WaitingRequest): TeamQueue {
            val team = team(waiting)
            if (team.requests.isEmpty()) {
                queuedTeams += team
                shares += team.share
            }
            team.requests += waiting
            team.tokens += waiting.costTokens
            tokens += waiting.costTokens
            return team
        }

        fun remove(
            key: GrantKey,
            team: TeamQueue,
        ): WaitingRequest? {
            val at = team.requests.indexOfFirst { it.key == key }
            if (at < 0) return null
            val waiting = team.requests.removeAt(at)
            team.tokens -= waiting.costTokens
            tokens -= waiting.costTokens
            if (team.requests.isEmpty()) {
                queuedTeams -= team
                shares -= team.share
            }
            return waiting
        }

        fun charge(
            team: TeamQueue,
            waiting: WaitingRequest,
        ) {
            val isQueued = team.requests.isNotEmpty()
            if (isQueued) queuedTeams -= team
            // A team that uses its burst allowance starts before the virtual time, which must not move back.
            virtualTime = maxOf(virtualTime, team.virtualStart)
            team.virtualStart += waiting.costTokens.toDouble() / team.share
            if (isQueued) queuedTeams += team
        }

        private fun removeIdleTeams() {
            teams.values.removeIf { it.requests.isEmpty() && it.virtualStart <= virtualTime }
        }
    }

    private companion object {
        const val MAX_TRIES = 8

        /**
         * Burst allowance, in tokens per unit of share: how much a team that stayed below its share is served before it
         * queues behind the others. Without it, the second of two consecutive prompts of a small team would wait as if
         * the team had exceeded its share.
         */
        const val BURST_TOKENS = 65_536.0
        const val MAX_IDLE_TEAMS = 4_096
    }
}

/** The result of trying to grant a waiting request. */
internal enum class OfferResult { NO_ROOM, REFUSED, GRANTED }
