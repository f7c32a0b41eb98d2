package samphirechute.daemon.upstream

import samphirechute.net.ClientFailure
import samphirechute.routing.flow.AttemptFailure

private const val TOO_MANY_REQUESTS = 429
private const val UNAVAILABLE = 503

/** The failure of an attempt that follows from the failure of its call. */
internal fun ClientFailure.toAttemptFailure() =
    when (this) {
        is ClientFailure.ConnectFailed -> AttemptFailure.CONNECT_FAILED
        is ClientFailure.Closed, is ClientFailure.TimedOut -> AttemptFailure.CLOSED
        is ClientFailure.Malformed -> AttemptFailure.GARBAGE
    }

/** The protocol of engines promises that a request answered with 429 or 503 was not run; other statuses promise nothing. */
internal fun refusal(status: Int) =
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) AttemptFailure.REFUSED else AttemptFailure.GARBAGE
