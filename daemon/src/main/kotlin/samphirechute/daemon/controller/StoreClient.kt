package samphirechute.daemon.controller

import com.github.michaelbull.result.fold
import samphirechute.core.HostPort
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.CommandOutcome
import samphirechute.daemon.peer.CommandReply
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerError
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/** The result of proposing a command to the store. */
internal sealed class StoreResult {
    /** [isRepeated] when an earlier try of the same command may have been committed before this one. */
    data class Committed(
        val result: CommandResult,
        val isRepeated: Boolean,
    ) : StoreResult()

    /** No quorum confirmed the command in time. [mayBeCommitted] when it may be in the log nevertheless. */
    data class Unavailable(
        val mayBeCommitted: Boolean,
    ) : StoreResult()
}

/**
 * Proposes commands to the store leader, whichever instance it is on. A command is retried until its timeout, so it
 * must be idempotent: committing it twice must have the same effect as committing it once.
 */
internal class StoreClient(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val local: StoreController?,
) {
    private val storeAddresses =
        runtime.settings.peers
            .filter { it.isStore && it.instance != runtime.self }
            .map { it.address }
    private var leader: HostPort? = null

    /** Proposes [command]; [onResult] is called once. Each try takes at most [tryTimeoutMs]. */
    fun propose(
        command: Command,
        timeoutMs: Long,
        tryTimeoutMs: Long = TRY_TIMEOUT_MS,
        onResult: (StoreResult) -> Unit,
    ) = Proposal(command, runtime.nowMs + timeoutMs, tryTimeoutMs, onResult).attempt()

    private inner class Proposal(
        private val command: Command,
        private val deadlineMs: Long,
        private val tryTimeoutMs: Long,
        private val onResult: (StoreResult) -> Unit,
    ) {
        private var mayBeCommitted = false
        private var tryCount = 0

        fun attempt() {
            if (runtime.nowMs >= deadlineMs) return onResult(StoreResult.Unavailable(mayBeCommitted))
            tryCount++
            val address = leader ?: nextCandidate()
            if (address == null) return proposeLocally()
            val timeoutMs = minOf(tryTimeoutMs, deadlineMs - runtime.nowMs)
            peerClient.call(address, PeerRoutes.commands, command, timeoutMs) { result ->
                result.fold(::handleReply, ::handleFailure)
            }
        }

        /**
         * The store member to try next, or null for the local one. The local member comes first because it can name the
         * leader; then the others follow in turn.
         */
        private fun nextCandidate(): HostPort? {
            if (storeAddresses.isEmpty() || (local != null && tryCount % (storeAddresses.size + 1) == 1)) return null
            return storeAddresses[tryCount % storeAddresses.size]
        }

        private fun proposeLocally() {
            local ?: return onResult(StoreResult.Unavailable(mayBeCommitted))
            local.propose(command, ::handleReply)
        }

        private fun handleReply(reply: CommandReply) {
            when (reply.outcome) {
                CommandOutcome.COMMITTED -> onResult(StoreResult.Committed(checkNotNull(reply.result), mayBeCommitted))
                CommandOutcome.NOT_LEADER -> redirect(reply.leader)
                CommandOutcome.REFUSED -> onResult(StoreResult.Unavailable(mayBeCommitted))
                CommandOutcome.UNKNOWN -> retry(isUnsent = false)
            }
        }

        private fun redirect(to: HostPort?) {
            val isNew = to != null && to != leader && to != runtime.settings.listen
            leader = to.takeIf { isNew }
            if (isNew) attempt() else retryLater()
        }

        private fun handleFailure(error: PeerError) = retry(isUnsent = error is PeerError.Unreachable)

        private fun retry(isUnsent: Boolean) {
            leader = null
            mayBeCommitted = mayBeCommitted || !isUnsent
            retryLater()
        }

        private fun retryLater() {
            runtime.timer.after(RETRY_MS) { attempt() }
        }
    }

    private companion object {
        const val TRY_TIMEOUT_MS = 1_000L
        const val RETRY_MS = 50L
    }
}
