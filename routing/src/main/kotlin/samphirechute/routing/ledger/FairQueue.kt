package samphirechute.routing.ledger

import samphirechute.core.TeamName
import samphirechute.core.service.Urgency
import samphirechute.routing.GrantKey
import java.util.TreeSet

/**
 * Orders waiting requests: strict priority between classes of urgency, with aging, and weighted fair queueing in
 * tokens between the teams of a class. It uses start-time fair queueing: a team is served in order of its virtual
 * start, and each request moves that forward by its tokens divided by the share of the team.
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

    /** True when the team of [waiting] has been served less than its share of late. */
    fun isBelowShare(waiting: WaitingRequest) = levels[waiting.request.urgency.ordinal].isBelowShare(waiting)

    /** Accounts for a request that was granted without waiting. */
    fun charge(waiting: WaitingRequest) {
        val level = levels[waiting.request.urgency.ordinal]
        level.charge(level.team(waiting), waiting)
    }

    /**
     * Offers waiting requests in order to [tryGrant] until it takes one, at most [MAX_TRIES] of them: a request that
     * none of the open upstreams may serve does not hold up the others. Only a granted request is charged.
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

    /** The tokens served before a request of this team and cost, as the queue stands. */
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
     * Moves the next request of each class up by one if it has waited for an aging period in each class so far. Only
     * the next one: a team that has flooded its class must not come before the other teams of it by waiting.
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

    /** All waiting requests for which [predicate] holds, removed. */
    fun removeIf(predicate: (WaitingRequest) -> Boolean): List<WaitingRequest> {
        if (isEmpty) return emptyList()
        val found = levels.flatMap { level -> level.queuedTeams.flatMap { it.requests.filter(predicate) } }
        found.forEach { remove(it.key) }
        return found
    }

    /** The newest request of the team with the most queued tokens for its share, in the least urgent class queued. */
    fun heaviestRequest(): WaitingRequest? {
        val level = levels.lastOrNull { it.queuedTeams.isNotEmpty() } ?: return null
        val team = level.queuedTeams.maxByOrNull { it.tokens / it.share.toDouble() }
        return team?.requests?.last()
    }

    /** Tokens queued per unit of share for the team of [waiting], in its class. */
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
            // A team that spends its allowance for bursts does not move the time of the others back.
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
         * What a team that stayed below its share may be served at once before it queues behind the others, in tokens
         * for each unit of share. Without it, two prompts in a row of a small team wait as if it had sent too much.
         */
        const val BURST_TOKENS = 65_536.0
        const val MAX_IDLE_TEAMS = 4_096
    }
}

/** What became of a waiting request that was offered the open upstreams. */
internal enum class OfferResult { NO_ROOM, REFUSED, GRANTED }
