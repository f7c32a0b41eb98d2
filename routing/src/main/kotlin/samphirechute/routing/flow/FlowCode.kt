package samphirechute.routing.flow

/** The error codes of a [FlowOutcome], as callers receive them. */
object FlowCode {
    const val DEADLINE_EXCEEDED = "deadline_exceeded"
    const val DEADLINE_UNREACHABLE = "deadline_unreachable"
    const val NO_CAPACITY = "no_capacity"
    const val UPSTREAM_REFUSED = "upstream_refused"
    const val UPSTREAM_UNREACHABLE = "upstream_unreachable"
    const val UPSTREAM_FAILED = "upstream_failed"
    const val OUTCOME_UNKNOWN = "outcome_unknown"
    const val ANSWER_NOT_KEPT = "answer_not_kept"
    const val IN_PROGRESS = "in_progress"
    const val REQUEST_ID_REUSED = "request_id_reused"
    const val STORE_UNAVAILABLE = "store_unavailable"
    const val CALLER_GONE = "caller_gone"
}
