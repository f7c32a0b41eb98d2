package samphirechute.testkit

import samphirechute.net.Exchange

/**
 * The control path of a stand-in: `POST /control/fault?kind=silent&on=false` switches a fault (on when `on` is not
 * given), kind `none` clears all, and `POST /control/leave` begins to leave.
 */
internal class ControlApi(
    private val faults: FaultSwitch,
    private val onFault: (UpstreamFault) -> Unit,
    private val onLeave: () -> Unit,
) {
    /** Handles a control request; false when [exchange] is none. */
    fun handle(exchange: Exchange): Boolean {
        when (exchange.request.path) {
            "/control/fault" -> {
                fault(exchange)
            }

            "/control/leave" -> {
                onLeave()
                exchange.respondJson(OK, "{}")
            }

            else -> {
                return false
            }
        }
        return true
    }

    private fun fault(exchange: Exchange) {
        val kind = exchange.request.query("kind")
        val fault = UpstreamFault.parse(kind)
        val isOn = exchange.request.query("on") != "false"
        when {
            kind == "none" -> faults.clear()
            fault == null -> return exchange.respondJson(BAD_REQUEST, """{"error":"unknown fault"}""")
            else -> faults.set(fault, isOn)
        }
        exchange.respondJson(OK, "{}")
        if (fault != null && isOn) onFault(fault)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
    }
}

internal fun Exchange.respondJson(
    status: Int,
    body: String,
    headers: Map<String, String> = emptyMap(),
) = respond(status, "application/json", body.encodeToByteArray(), headers)

/** Closes the connection without an answer. */
internal fun Exchange.drop() = startStream(DROPPED_STATUS, "text/plain").abort()

private const val DROPPED_STATUS = 200
