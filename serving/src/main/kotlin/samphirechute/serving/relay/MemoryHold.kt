package samphirechute.serving.relay

import com.github.michaelbull.result.fold
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.Subscription
import samphirechute.net.ClientRequest
import samphirechute.routing.placing.PlacedHelper

/**
 * The memory that helpers reserve for one attempt of a request: either all of it or none. [Relay] acquires it before it
 * sends the attempt and releases it after.
 *
 * Reservations are short and renewed while the request runs, so that they expire by themselves if this instance dies.
 */
internal class MemoryHold(
    private val context: RelayContext,
    requestId: RequestId,
    send: Int,
    private val placed: List<PlacedHelper>,
) {
    val helpers: List<Helper> =
        placed.mapIndexed { index, helper ->
            val isHolder = helper.reservedTokens > 0
            Helper(
                helper.address,
                Reservation("${requestId.value}-$send-$index", helper.reservedTokens).takeIf { isHolder },
            )
        }
    private val holders = helpers.filter { it.reservation != null }
    private var failure: ReservationFailure? = null
    private var isEnded = false
    private var renewal: Subscription? = null

    /**
     * Reserves memory on all holders. [onResult] receives null if all granted it; if not, all of it is released, and
     * [onResult] receives the first failure.
     */
    fun acquire(onResult: (ReservationFailure?) -> Unit) {
        if (holders.isEmpty()) return onResult(null)
        var answers = 0
        helpers.zip(placed).filter { (helper, _) -> helper in holders }.forEach { (holder, target) ->
            reserve(holder) { reply ->
                if (reply != Reply.GRANTED && failure == null) {
                    failure = ReservationFailure(target.upstream, isReached = reply == Reply.REFUSED)
                }
                if (++answers < holders.size) return@reserve
                val isHeld = failure == null && !isEnded
                if (isHeld) renewal = context.timer.every(RENEW_MS) { renew() } else release()
                // A hold that was released meanwhile belongs to an attempt that has ended, which ignores the result.
                onResult(failure)
            }
        }
    }

    /** Releases the memory; may be called more than once. */
    fun release() {
        renewal?.cancel()
        if (isEnded) return
        isEnded = true
        holders.forEach { holder -> holder.reservation?.let { call(context.protocol.release(holder.address, it)) { } } }
    }

    private fun renew() = holders.forEach { reserve(it) { } }

    private fun reserve(
        holder: Helper,
        onResult: (Reply) -> Unit,
    ) {
        val reservation = holder.reservation ?: return
        call(context.protocol.reserve(holder.address, reservation, HOLD_MS)) { reply ->
            if (reply != Reply.GRANTED) {
                context.log.event(
                    "reserve_failed",
                    mapOf(
                        "reservation" to reservation.id,
                        "address" to holder.address,
                        "tokens" to reservation.tokens,
                        "reply" to reply.name.lowercase(),
                    ),
                )
            }
            onResult(reply)
        }
    }

    private fun call(
        request: ClientRequest,
        onResult: (Reply) -> Unit,
    ) {
        context.client.call(request, TIMEOUT_MS) { result ->
            result.fold({ onResult(if (it.status == OK) Reply.GRANTED else Reply.REFUSED) }, { onResult(Reply.NONE) })
        }
    }

    private enum class Reply { GRANTED, REFUSED, NONE }

    private companion object {
        const val OK = 200

        /** Reservations must expire at most 4 s after their request has ended, also if this instance dies. */
        const val HOLD_MS = 3_000L
        const val RENEW_MS = 1_300L
        const val TIMEOUT_MS = 600L
    }
}

/** A helper that did not reserve memory for a request: it refused, or it could not be reached. */
internal class ReservationFailure(
    val upstream: UpstreamId,
    val isReached: Boolean,
)
