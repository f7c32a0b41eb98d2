package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.SteppedClock
import samphirechute.state.command.Command
import samphirechute.state.command.UpstreamOrder
import kotlin.random.Random

/** How long the leader before may still give orders: the longest leader lease and the margin. */
const val FENCING_WAIT_MS = 2_200L

/** A leader stops this much before its lease ends. */
const val LEADER_MARGIN_MS = 200L

/**
 * Gives the committed orders to upstreams while this member is store leader. The term is the fencing number. For
 * engines that ignore it, a new leader waits until the one before has stopped by itself. An upstream has one order at
 * a time, in the order of the log; the next one follows when the end of the one before is committed, so that a later
 * leader does not repeat an old order over a newer one.
 *
 * Waits are counted on a [SteppedClock], since a clock that jumps must not cut them short; the end of the leader lease
 * is compared with the clock itself.
 */
class OrderGiver(
    private val settings: OrderSettings,
    private val random: Random,
) {
    private val upstreams = mutableMapOf<UpstreamId, Upstream>()
    private val open = LinkedHashMap<OperationId, OpenOrder>()
    private val clock = SteppedClock()
    private var leadership: Leadership? = null

    /** Whether orders may be sent now. */
    fun isGiving(nowMs: Long): Boolean = leadership?.let { nowMs < it.leaseUntilMs - LEADER_MARGIN_MS } == true

    fun handle(
        input: OrderInput,
        nowMs: Long,
    ): List<OrderOutput> {
        clock.advance(nowMs)
        val elapsedMs = clock.elapsedMs
        val outputs = mutableListOf<OrderOutput>()
        when (input) {
            OrderInput.Ticked -> {}

            is OrderInput.LeadershipBegan -> {
                begin(input, elapsedMs)
            }

            is OrderInput.LeaderLeaseExtended -> {
                leadership?.extend(input.untilMs)
            }

            OrderInput.LeadershipEnded -> {
                leadership = null
            }

            is OrderInput.Issued -> {
                open.getOrPut(input.record.operationId) { OpenOrder(input.record, elapsedMs) }
            }

            is OrderInput.Finished -> {
                open -= input.operationId
            }

            is OrderInput.UpstreamSeen -> {
                upstreams[input.upstream] = Upstream(input.address, input.checksFencing)
            }

            is OrderInput.Answered -> {
                onAnswer(input, elapsedMs, outputs)
            }
        }
        if (isGiving(nowMs)) giveDue(elapsedMs, outputs)
        return outputs
    }

    private fun begin(
        input: OrderInput.LeadershipBegan,
        elapsedMs: Long,
    ) {
        leadership =
            Leadership(input.term, elapsedMs, TokenBucket(settings.loadsPerMinute, settings.loadBurst, elapsedMs))
        open.clear()
        input.unfinished.associateTo(open) { it.operationId to OpenOrder(it, elapsedMs) }
    }

    private fun onAnswer(
        input: OrderInput.Answered,
        elapsedMs: Long,
        outputs: MutableList<OrderOutput>,
    ) {
        val order = open[input.operationId] ?: return
        if (order.result != null) return
        when (input.answer) {
            // The order was carried out, whichever attempt it is the answer to.
            OrderAnswer.DONE -> {
                order.finish(true, input.detail, elapsedMs)
            }

            OrderAnswer.FAILED -> {
                if (input.attempt == order.attempt) order.finish(false, input.detail, elapsedMs)
            }

            OrderAnswer.UNKNOWN -> {
                if (input.attempt == order.attempt) order.dueMs = elapsedMs + retryDelayMs(order.attempt)
            }

            OrderAnswer.STALE_FENCING -> {
                if (leadership != null) outputs += OrderOutput.Deposed(order.record.upstream)
                leadership = null
            }
        }
    }

    private fun giveDue(
        elapsedMs: Long,
        outputs: MutableList<OrderOutput>,
    ) {
        val leader = leadership ?: return
        val busy = mutableSetOf<UpstreamId>()
        for (order in open.values) {
            if (!busy.add(order.record.upstream) || elapsedMs < order.dueMs) continue
            val upstream = upstreams[order.record.upstream]
            when {
                order.result != null -> commitResult(order, elapsedMs, outputs)
                upstream == null -> order.failAfterWait(elapsedMs)
                order.attempt >= settings.maxAttempts -> order.finish(false, NO_ANSWER, elapsedMs)
                else -> trySend(order, upstream, leader, elapsedMs, outputs)
            }
        }
    }

    private fun trySend(
        order: OpenOrder,
        upstream: Upstream,
        leader: Leadership,
        elapsedMs: Long,
        outputs: MutableList<OrderOutput>,
    ) {
        if (!upstream.checksFencing && elapsedMs < leader.sinceMs + FENCING_WAIT_MS) return
        if (order.record.order.isLoad && !leader.bucket.tryAcquire(elapsedMs)) return
        order.attempt++
        order.dueMs = elapsedMs + settings.answerTimeoutMs + retryDelayMs(order.attempt)
        val record = order.record
        outputs +=
            OrderOutput.Send(
                record.operationId,
                order.attempt,
                record.upstream,
                upstream.address,
                record.order,
                leader.term,
            )
    }

    private fun commitResult(
        order: OpenOrder,
        elapsedMs: Long,
        outputs: MutableList<OrderOutput>,
    ) {
        order.dueMs = elapsedMs + COMMIT_RETRY_MS
        order.result?.let { outputs += OrderOutput.Commit(it) }
    }

    private fun OpenOrder.failAfterWait(elapsedMs: Long) {
        if (elapsedMs >=
            sinceMs + settings.upstreamWaitMs
        ) {
            finish(false, "the upstream has not announced itself", elapsedMs)
        }
    }

    private fun retryDelayMs(attempt: Int): Long {
        val longest = (MIN_RETRY_MS shl attempt.coerceAtMost(MAX_DOUBLINGS))
        return longest / 2 + random.nextLong(longest / 2)
    }

    private class Upstream(
        val address: HostPort,
        val checksFencing: Boolean,
    )

    private class Leadership(
        val term: Long,
        val sinceMs: Long,
        val bucket: TokenBucket,
    ) {
        var leaseUntilMs = Long.MIN_VALUE + LEADER_MARGIN_MS
            private set

        fun extend(untilMs: Long) {
            leaseUntilMs = maxOf(leaseUntilMs, untilMs)
        }
    }

    private class OpenOrder(
        val record: OrderRecord,
        val sinceMs: Long,
    ) {
        var attempt = 0
        var dueMs = sinceMs
        var result: Command.FinishOrder? = null

        fun finish(
            isDone: Boolean,
            detail: String,
            elapsedMs: Long,
        ) {
            result = Command.FinishOrder(record.operationId, isDone, detail)
            dueMs = elapsedMs
        }
    }

    private companion object {
        const val COMMIT_RETRY_MS = 2_000L
        const val MIN_RETRY_MS = 1_000L
        const val MAX_DOUBLINGS = 5
        const val NO_ANSWER = "no answer; the order may have been carried out"
    }
}

private val UpstreamOrder.isLoad: Boolean
    get() =
        when (this) {
            is UpstreamOrder.LoadModel, is UpstreamOrder.LoadAdapter -> true
            is UpstreamOrder.ChangeRole -> false
        }
