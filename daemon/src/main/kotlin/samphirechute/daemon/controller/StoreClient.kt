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

/** What became of a command. */
internal sealed class StoreResult {
    /** [isRepeated] when an earlier try of the same command may have been committed before this one. */
    data class Committed(
        val result: CommandResult,
        val isRepeated: Boolean,
    ) : StoreResult()

    /** No quorum took the command in time. [mayBeCommitted] when it may be in the log all the same. */
    data class Unavailable(
        val mayBeCommitted: Boolean,
    ) : StoreResult()
}

/**
 * Gives commands to the store leader, wherever it is. A command is tried again until its time has passed, so it must
 * be one that may be committed twice with the effect of once.
 */
internal class StoreClient(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val local: StoreController?,
) {
    private val stores =
        runtime.settings.peers
            .filter { it.isStore && it.instance != runtime.self }
            .map { it.address }
    private var leader: HostPort? = null

    fun propose(
        command: Command,
        timeoutMs: Long,
        tryTimeoutMs: Long = TRY_TIMEOUT_MS,
        onResult: (StoreResult) -> Unit,
    ) = Proposal(command, runtime.nowMs + timeoutMs, tryTimeoutMs, onResult).attempt()

    private inner class Proposal(
        private val command: Command,
        private val untilMs: Long,
        private val tryTimeoutMs: Long,
        private val onResult: (StoreResult) -> Unit,
    ) {
        private var mayBeCommitted = false
        private var tries = 0

        fun attempt() {
            if (runtime.nowMs >= untilMs) return onResult(StoreResult.Unavailable(mayBeCommitted))
            tries++
            val address = leader ?: candidate()
            if (address == null) return proposeHere()
            val timeoutMs = minOf(tryTimeoutMs, untilMs - runtime.nowMs)
            peerClient.call(address, PeerRoutes.commands, command, timeoutMs) { result ->
                result.fold(::answered, ::failed)
            }
        }

        /** The own store member is asked first and says who leads; then the others in turn. */
        private fun candidate(): HostPort? {
            if (stores.isEmpty() || (local != null && tries % (stores.size + 1) == 1)) return null
            return stores[tries % stores.size]
        }

        private fun proposeHere() {
            local ?: return onResult(StoreResult.Unavailable(mayBeCommitted))
            local.propose(command, ::answered)
        }

        private fun answered(reply: CommandReply) {
            when (reply.outcome) {
                CommandOutcome.COMMITTED -> onResult(StoreResult.Committed(checkNotNull(reply.result), mayBeCommitted))
                CommandOutcome.NOT_LEADER -> redirected(reply.leader)
                CommandOutcome.REFUSED -> onResult(StoreResult.Unavailable(mayBeCommitted))
                CommandOutcome.UNKNOWN -> retry(isUnsent = false)
            }
        }

        private fun redirected(to: HostPort?) {
            val isNew = to != null && to != leader && to != runtime.settings.listen
            leader = to.takeIf { isNew }
            if (isNew) attempt() else later()
        }

        private fun failed(error: PeerError) = retry(isUnsent = error is PeerError.Unreachable)

        private fun retry(isUnsent: Boolean) {
            leader = null
            mayBeCommitted = mayBeCommitted || !isUnsent
            later()
        }

        private fun later() {
            runtime.timer.after(RETRY_MS) { attempt() }
        }
    }

    private companion object {
        const val TRY_TIMEOUT_MS = 1_000L
        const val RETRY_MS = 50L
    }
}
