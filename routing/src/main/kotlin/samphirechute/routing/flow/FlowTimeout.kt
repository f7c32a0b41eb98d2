package samphirechute.routing.flow

/** The timeouts that a [RequestFlow] checks on each tick; [FlowTimes.dueTimeout] determines which one is due. */
internal enum class FlowTimeout {
    ASK_CLAIM_AGAIN,
    ASK_GRANT_AGAIN,

    /** Even with a grant now, the answer could not be complete by the deadline. */
    GRANT_TOO_LATE,

    /** Even with the first token now, the rest of the answer would miss the deadline. */
    FIRST_TOKEN_TOO_LATE,

    /** The attempt has shown no activity for longer than [SilenceLimit] allows. */
    SILENT,
}
