package samphirechute.routing.flow

/** What has fallen due in the flow of a request. */
internal enum class FlowTimeout {
    ASK_CLAIM_AGAIN,
    ASK_GRANT_AGAIN,

    /** Even a grant given now would be too late for the answer. */
    GRANT_TOO_LATE,

    /** Even a first token that arrives now would be too late for the rest of the answer. */
    FIRST_TOKEN_TOO_LATE,

    /** The attempt shows no activity for longer than expected. */
    SILENT,
}
