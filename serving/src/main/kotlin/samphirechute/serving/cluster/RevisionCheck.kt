package samphirechute.serving.cluster

import com.github.michaelbull.result.fold
import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.net.peer.PeerClient

/** Whether the configuration in use is the newest one. */
enum class RevisionOutcome { NEWEST, UNKNOWN }

/**
 * Makes sure that an entry instance uses the newest configuration before it gives an answer that is final because of it,
 * such as that a route does not exist. The leader of the store names the newest revision once a majority confirms it. If
 * that is newer than the one in use, the check waits until it is in use.
 *
 * Requests that arrive during a call share its result, and calls are spaced, so that callers who ask for many unknown
 * routes do not load the store.
 */
class RevisionCheck(
    private val timer: TimerService,
    private val client: PeerClient,
    private val watcher: Watcher,
    private val usedRevision: () -> Long,
) {
    private val waiting = ArrayList<(RevisionOutcome) -> Unit>()
    private var isAsking = false

    /** Calls [onOutcome] within [ASK_TIMEOUT_MS] and [APPLY_LIMIT_MS], and the pause between two calls. */
    fun confirm(onOutcome: (RevisionOutcome) -> Unit) {
        waiting += onOutcome
        if (!isAsking) ask()
    }

    private fun ask() {
        isAsking = true
        val leader = watcher.leader
        val address = leader?.address ?: return settle(RevisionOutcome.UNKNOWN)
        client.call(address, ClusterRoutes.confirmRevision, Unit, ASK_TIMEOUT_MS) { result ->
            result.fold({ onReply(leader, it) }) { error ->
                log.event("revision_unconfirmed", mapOf("leader" to leader, "error" to error.detail))
                settle(RevisionOutcome.UNKNOWN)
            }
        }
    }

    private fun onReply(
        leader: InstanceId,
        reply: RevisionReply,
    ) {
        if (!reply.isConfirmed) {
            log.event("revision_unconfirmed", mapOf("leader" to leader, "error" to "no majority"))
            return settle(RevisionOutcome.UNKNOWN)
        }
        watcher.noteRevision(leader, reply.revision)
        if (usedRevision() < reply.revision) {
            val fields = mapOf("used" to usedRevision(), "newest" to reply.revision, "leader" to leader)
            log.event("revision_behind", fields)
        }
        awaitUse(reply.revision, timer.nowMs() + APPLY_LIMIT_MS)
    }

    private fun awaitUse(
        revision: Long,
        untilMs: Long,
    ) {
        when {
            usedRevision() >= revision -> settle(RevisionOutcome.NEWEST)
            timer.nowMs() >= untilMs -> settle(RevisionOutcome.UNKNOWN)
            else -> timer.after(APPLY_POLL_MS) { awaitUse(revision, untilMs) }
        }
    }

    private fun settle(outcome: RevisionOutcome) {
        val settled = waiting.toList()
        waiting.clear()
        timer.after(PAUSE_MS) {
            isAsking = false
            if (waiting.isNotEmpty()) ask()
        }
        settled.forEach { it(outcome) }
    }

    private companion object {
        const val ASK_TIMEOUT_MS = 300L

        /** The time to fetch a configuration and to put it in force. */
        const val APPLY_LIMIT_MS = 500L
        const val APPLY_POLL_MS = 10L
        const val PAUSE_MS = 50L
        val log = KeyValueLog("watch")
    }
}
