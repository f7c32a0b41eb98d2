package samphirechute.state.order

import samphirechute.core.HostPort
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.state.SteppedClock
import samphirechute.state.command.Command
import samphirechute.state.command.UpstreamOrder
import kotlin.random.Random

/** How long the previous leader may still send orders: the longest leader lease plus [LEADER_MARGIN_MS]. */
const val FENCING_WAIT_MS = 2_200L

/** How long before the end of its lease a leader stops sending orders. */
const val LEADER_MARGIN_MS = 200L

/**
 * Sends committed orders to upstreams while this member is store leader. It owns the open orders with their attempts.
 * The order controller of the daemon passes it committed records, answers and the time.
 *
 * The term of the leader is the fencing number. Engines that ignore it are protected by a wait: a new leader sends them
 * nothing until the previous one must have stopped by itself.
 *
 * An upstream gets one order at a time, in the order of the log. The next one follows when the result of the previous
 * one is committed; otherwise a later leader could repeat an old order after a newer one.
 *
 * Waits are measured with a [SteppedClock], so that a clock jump can't shorten them. The end of the leader lease is
 * compared with the clock itself, so that a leader that was paused finds its lease expired.
 */
class OrderDispatcher(
    private val settings: OrderSettings,
    private val random: Random,
) {
    private val upstreams = mutableMapOf<UpstreamId, Upstream>()
    private val open = LinkedHashMap<OperationId, OpenOrder>()
    private val clock = SteppedClock()
    private var leadership: Leadership? = null

    /** Whether orders may be sent at [nowMs]: this member leads, and its lease lasts [LEADER_MARGIN_MS] more. */
    fun canSend(nowMs: Long): Boolean = leadership?.let { nowMs < it.leaseUntilMs - LEADER_MARGIN_MS } == true

    /**
     * Applies one input and returns what the caller must do. Orders are sent after the input is applied, since a result
     * or the end of the leadership decides which may be sent.
     */
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
                startLeading(input, elapsedMs)
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
        if (canSend(nowMs)) sendDue(elapsedMs, outputs)
        return outputs
    }

    private fun startLeading(
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
            // The order was executed, whichever attempt this answers.
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

    /**
     * Looks at the first open order of each upstream only. A known result is committed before anything else, so that a
     * finished order is neither sent again nor failed for a missing upstream.
     */
    private fun sendDue(
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
                upstream == null -> order.failIfUpstreamMissing(elapsedMs)
                order.attempt >= settings.maxAttempts -> order.finish(false, NO_ANSWER, elapsedMs)
                else -> trySend(order, upstream, leader, elapsedMs, outputs)
            }
        }
    }

    /** Checks the fencing wait before the rate, so that an order that must wait uses up no token. */
    private fun trySend(
        order: OpenOrder,
        upstream: Upstream,
        leader: Leadership,
        elapsedMs: Long,
        outputs: MutableList<OrderOutput>,
    ) {
        if (!upstream.checksFencing && elapsedMs < leader.sinceMs + FENCING_WAIT_MS) return
        if (order.record.order.isLoad && !leader.loadLimiter.tryAcquire(elapsedMs)) return
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

    private fun OpenOrder.failIfUpstreamMissing(elapsedMs: Long) {
        if (elapsedMs >=
            sinceMs + settings.upstreamWaitMs
        ) {
            finish(false, "the upstream has not announced itself", elapsedMs)
        }
    }

    private fun retryDelayMs(attempt: Int): Long {
        val longestMs = (MIN_RETRY_MS shl attempt.coerceAtMost(MAX_DOUBLINGS))
        return longestMs / 2 + random.nextLong(longestMs / 2)
    }

    private class Upstream(
        val address: HostPort,
        val checksFencing: Boolean,
    )

    private class Leadership(
        val term: Long,
        val sinceMs: Long,
        val loadLimiter: TokenBucket,
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
        /** A result that is not committed after this time is sent again. */
        const val COMMIT_RETRY_MS = 2_000L

        /** The delay after the first attempt is between this and twice this. Each attempt doubles both limits. */
        const val MIN_RETRY_MS = 1_000L

        /** The delay stops growing at 16 to 32 s. */
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
