package samphirechute.daemon.caller

import samphirechute.core.RunState
import samphirechute.daemon.http.RequestError
import samphirechute.routing.flow.FlowCode
import samphirechute.routing.flow.FlowOutcome

/** Converts the outcome of a request that gave no complete answer to the error for its caller. */
internal fun FlowOutcome.toRequestError() =
    RequestError.Ended(status(), code ?: "failed", message ?: "the request failed", runState, retryAfterMs)

private fun FlowOutcome.status() =
    when (code) {
        FlowCode.ANSWER_NOT_KEPT -> OK

        FlowCode.IN_PROGRESS -> CONFLICT

        FlowCode.REQUEST_ID_REUSED -> UNPROCESSABLE

        FlowCode.OUTCOME_UNKNOWN -> BAD_GATEWAY

        FlowCode.DEADLINE_EXCEEDED -> GATEWAY_TIMEOUT

        // Callers take 503 for a promise, whatever ended the request: an earlier attempt may have run it.
        else -> if (runState == RunState.NOT_RUN) UNAVAILABLE else BAD_GATEWAY
    }

private const val OK = 200
private const val CONFLICT = 409
private const val UNPROCESSABLE = 422
private const val BAD_GATEWAY = 502
private const val UNAVAILABLE = 503
private const val GATEWAY_TIMEOUT = 504
