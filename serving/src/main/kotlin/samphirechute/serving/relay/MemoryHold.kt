package samphirechute.serving.relay

import com.github.michaelbull.result.fold
import samphirechute.core.RequestId
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
    placed: List<PlacedHelper>,
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
    private var grantedCount = 0
    private var isEnded = false
    private var renewal: Subscription? = null

    /** Reserves memory on all holders. [onResult] receives whether all granted it; if not, all of it is released. */
    fun acquire(onResult: (Boolean) -> Unit) {
        if (holders.isEmpty()) return onResult(true)
        var answers = 0
        for (holder in holders) {
            reserve(holder) { isGranted ->
                if (isGranted) grantedCount++
                if (++answers < holders.size) return@reserve
                val allGranted = grantedCount == holders.size && !isEnded
                if (allGranted) renewal = context.timer.every(RENEW_MS) { renew() } else release()
                onResult(allGranted)
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
        onResult: (Boolean) -> Unit,
    ) {
        val reservation = holder.reservation ?: return
        call(context.protocol.reserve(holder.address, reservation, HOLD_MS)) { isGranted ->
            if (!isGranted) {
                context.log.event("reserve_failed", mapOf("reservation" to reservation.id, "address" to holder.address))
            }
            onResult(isGranted)
        }
    }

    private fun call(
        request: ClientRequest,
        onResult: (Boolean) -> Unit,
    ) {
        context.client.call(
            request,
            TIMEOUT_MS,
        ) { result -> result.fold({ onResult(it.status == OK) }, { onResult(false) }) }
    }

    private companion object {
        const val OK = 200

        /** Reservations must expire at most 4 s after their request has ended, also if this instance dies. */
        const val HOLD_MS = 3_000L
        const val RENEW_MS = 1_300L
        const val TIMEOUT_MS = 600L
    }
}
