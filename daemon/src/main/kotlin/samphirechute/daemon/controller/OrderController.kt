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

/** As store leader, gives the committed orders to upstreams and records how they ended. */
internal class OrderController(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val store: StoreController,
    private val coordinator: CoordinatorController,
    private val sync: SyncController,
) {
    private val settings = OrderSettings()
    private val giver = OrderDispatcher(settings, Random(runtime.incarnation))
    private val protocol = OrderProtocol(runtime.client)

    fun start() {
        runtime.timer.every(TICK_MS) {
            if (!store.isLeader) return@every
            feed(OrderInput.LeaderLeaseExtended(store.leaseUntilMs()))
        }
        runtime.timer.every(LOCATE_MS) { if (store.isLeader) open().map { it.upstream }.distinct().forEach(::locate) }
    }

    fun leadershipChanged(term: Long?) =
        feed(if (term == null) OrderInput.LeadershipEnded else OrderInput.LeadershipBegan(term, open()))

    fun applied(entry: AppliedEntry) {
        if (entry.result is CommandResult.Rejected) return
        when (val command = entry.command) {
            is Command.IssueOrder -> {
                issued(command)
            }

            is Command.FinishOrder -> {
                finished(command)
            }

            else -> {}
        }
    }

    private fun issued(command: Command.IssueOrder) {
        feed(OrderInput.Issued(OrderRecord(command.operationId, command.upstream, command.order)))
    }

    private fun finished(command: Command.FinishOrder) {
        val fields = arrayOf("operation" to command.operationId, "done" to command.isDone, "detail" to command.detail)
        runtime.ring.record("order_finished", null, *fields)
        feed(OrderInput.Finished(command.operationId))
    }

    private fun open() =
        store.state.orders.values
            .filter { it.finishedMs == null }
            .map { OrderRecord(it.operationId, it.upstream, it.order) }

    /** Asks the coordinators where an upstream is; the one of its failure domain knows. */
    private fun locate(upstream: UpstreamId) {
        seen(upstream, UpstreamReply.of(coordinator.knownReport(upstream)))
        for (digest in sync.digests().filter { it.coordinator != runtime.self }) {
            peerClient.call(
                digest.address,
                PeerRoutes.findUpstream,
                UpstreamQuery(upstream),
                LOCATE_TIMEOUT_MS,
            ) { result ->
                result.get()?.let { seen(upstream, it) }
            }
        }
    }

    private fun seen(
        upstream: UpstreamId,
        reply: UpstreamReply,
    ) {
        val address: HostPort = reply.address ?: return
        feed(OrderInput.UpstreamSeen(upstream, address, reply.checksFencing))
    }

    private fun feed(input: OrderInput) = giver.handle(input, runtime.nowMs).forEach(::execute)

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
        /** The giver counts at most 200 ms between two inputs. */
        const val TICK_MS = 100L
        const val LOCATE_MS = 1_000L
        const val LOCATE_TIMEOUT_MS = 500L
    }
}
