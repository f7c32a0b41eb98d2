package samphirechute.daemon.controller

import com.github.michaelbull.result.get
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId
import samphirechute.daemon.Runtime
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.daemon.peer.UpstreamQuery
import samphirechute.daemon.peer.UpstreamReply
import samphirechute.daemon.upstream.OrderProtocol
import samphirechute.net.peer.PeerClient
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.order.OrderDispatcher
import samphirechute.state.order.OrderInput
import samphirechute.state.order.OrderOutput
import samphirechute.state.order.OrderRecord
import samphirechute.state.order.OrderSettings
import samphirechute.state.raft.AppliedEntry
import kotlin.random.Random

/**
 * Sends committed orders to upstreams while this instance leads the store, and commits their results. Fed by the
 * applied log entries of [StoreController]; the decisions are made by [OrderDispatcher].
 */
internal class OrderController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val store: StoreController,
    private val coordinator: CoordinatorController,
    private val sync: SyncController,
) {
    private val settings = OrderSettings()
    private val dispatcher = OrderDispatcher(settings, Random(runtime.incarnation))
    private val protocol = OrderProtocol(runtime.client)

    fun start() {
        runtime.timer.every(TICK_MS) {
            if (!store.isLeader) return@every
            feed(OrderInput.LeaderLeaseExtended(store.leaseUntilMs()))
        }
        runtime.timer.every(LOCATE_MS) {
            if (store.isLeader) openOrders().map { it.upstream }.distinct().forEach(::locate)
        }
    }

    fun handleLeadershipChanged(term: Long?) =
        feed(if (term == null) OrderInput.LeadershipEnded else OrderInput.LeadershipBegan(term, openOrders()))

    fun handleApplied(entry: AppliedEntry) {
        if (entry.result is CommandResult.Rejected) return
        when (val command = entry.command) {
            is Command.IssueOrder -> {
                handleIssued(command)
            }

            is Command.FinishOrder -> {
                handleFinished(command)
            }

            else -> {}
        }
    }

    private fun handleIssued(command: Command.IssueOrder) {
        feed(OrderInput.Issued(OrderRecord(command.operationId, command.upstream, command.order)))
    }

    private fun handleFinished(command: Command.FinishOrder) {
        val fields = arrayOf("operation" to command.operationId, "done" to command.isDone, "detail" to command.detail)
        runtime.ring.record("order_finished", null, *fields)
        feed(OrderInput.Finished(command.operationId))
    }

    private fun openOrders() =
        store.state.orders.values
            .filter { it.finishedMs == null }
            .map { OrderRecord(it.operationId, it.upstream, it.order) }

    /** Asks all coordinators for the address of an upstream; only the one of its failure domain knows it. */
    private fun locate(upstream: UpstreamId) {
        handleLocation(upstream, UpstreamReply.of(coordinator.reportIfCoordinator(upstream)))
        for (digest in sync.digests().filter { it.coordinator != runtime.self }) {
            peerClient.call(
                digest.address,
                PeerRoutes.findUpstream,
                UpstreamQuery(upstream),
                LOCATE_TIMEOUT_MS,
            ) { result ->
                result.get()?.let { handleLocation(upstream, it) }
            }
        }
    }

    private fun handleLocation(
        upstream: UpstreamId,
        reply: UpstreamReply,
    ) {
        val address: HostPort = reply.address ?: return
        feed(OrderInput.UpstreamSeen(upstream, address, reply.checksFencing))
    }

    private fun feed(input: OrderInput) = dispatcher.handle(input, runtime.nowMs).forEach(::execute)

    private fun execute(output: OrderOutput) {
        when (output) {
            is OrderOutput.Send -> send(output)
            is OrderOutput.Commit -> store.propose(output.command) { }
            is OrderOutput.Deposed -> runtime.ring.record("order_giver_deposed", null, "upstream" to output.upstream)
        }
    }

    private fun send(output: OrderOutput.Send) {
        val fields = arrayOf("operation" to output.operationId, "fencing_number" to output.fencingNumber)
        runtime.ring.record("order_sent", null, *fields, "upstream" to output.upstream, "attempt" to output.attempt)
        protocol.send(output, settings.answerTimeoutMs) { answer, detail ->
            feed(OrderInput.Answered(output.operationId, output.attempt, answer, detail))
        }
    }

    private companion object {
        /** The dispatcher counts at most 200 ms between two inputs, so ticks must come more often. */
        const val TICK_MS = 100L
        const val LOCATE_MS = 1_000L
        const val LOCATE_TIMEOUT_MS = 500L
    }
}
