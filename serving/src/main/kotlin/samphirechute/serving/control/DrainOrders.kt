package samphirechute.serving.control

import samphirechute.core.FailureDomain
import samphirechute.core.OperationId
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.TimerService
import samphirechute.serving.cluster.CommandReply
import samphirechute.serving.cluster.CommandStatus
import samphirechute.serving.cluster.DrainedDomains
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import java.util.UUID

/** An order to drain a failure domain, or to bring it back into service. */
class DrainOrder(
    val domain: FailureDomain,
    val isDrained: Boolean,
    /** Returns whether the caller has left, so that nobody waits for the order any more. */
    val isAbandoned: () -> Boolean,
)

/**
 * Carries out the operators' orders to drain a failure domain. Nothing in such an order tells how old it is: it may have
 * waited in a socket of a process that was frozen, or on its way to the leader, while later orders were carried out.
 *
 * An order is therefore submitted only after a majority has answered a question that was asked after the order was read,
 * with its caller still there, and only for the version of the drains in that answer. A copy that reaches the leader
 * later finds another version and changes nothing.
 */
internal class DrainOrders(
    private val timer: TimerService,
    /** Asks for the newest drains, confirmed by a majority; null if that fails in time. */
    private val readDrains: (onDrains: (DrainedDomains?) -> Unit) -> Unit,
    private val submit: (command: Command, timeoutMs: Long, onReply: (CommandReply) -> Unit) -> Unit,
) {
    /** Carries out [order]. [onResult] is called once, with true when it is in force. */
    fun carryOut(
        order: DrainOrder,
        onResult: (isDone: Boolean) -> Unit,
    ) = attempt(order, timer.nowMs() + TIMEOUT_MS, onResult)

    private fun attempt(
        order: DrainOrder,
        deadlineMs: Long,
        onResult: (Boolean) -> Unit,
    ) {
        if (isOver(order, deadlineMs)) return onResult(false)
        readDrains { drains ->
            when {
                isOver(order, deadlineMs) -> onResult(false)
                drains == null -> retry(order, deadlineMs, onResult)
                (order.domain in drains.domains) == order.isDrained -> onResult(true)
                else -> propose(order, drains.version, deadlineMs, onResult)
            }
        }
    }

    private fun propose(
        order: DrainOrder,
        version: Long,
        deadlineMs: Long,
        onResult: (Boolean) -> Unit,
    ) {
        val operationId = OperationId(UUID.randomUUID().toString())
        val command = Command.SetDrain(operationId, DrainTarget.Domain(order.domain), order.isDrained, version)
        submit(command, deadlineMs - timer.nowMs()) { reply ->
            when {
                reply.status != CommandStatus.COMMITTED -> retry(order, deadlineMs, onResult)
                reply.result is CommandResult.Rejected -> attempt(order, deadlineMs, onResult)
                else -> onResult(true)
            }
        }
    }

    private fun retry(
        order: DrainOrder,
        deadlineMs: Long,
        onResult: (Boolean) -> Unit,
    ) {
        timer.after(RETRY_MS) { attempt(order, deadlineMs, onResult) }
    }

    private fun isOver(
        order: DrainOrder,
        deadlineMs: Long,
    ): Boolean {
        val isAbandoned = order.isAbandoned()
        if (isAbandoned) {
            val fields = mapOf("domain" to order.domain, "drained" to order.isDrained, "reason" to "caller_left")
            log.event("drain_dropped", fields)
        }
        return isAbandoned || timer.nowMs() >= deadlineMs
    }

    private companion object {
        /** Operators call another instance after a second without an answer. */
        const val TIMEOUT_MS = 900L
        const val RETRY_MS = 50L
        val log = KeyValueLog("store")
    }
}
