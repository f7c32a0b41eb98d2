package samphirechute.state.command

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId

/** The result of applying a [Command]. Every member computes the same result. */
@Serializable
sealed class CommandResult {
    @Serializable
    @SerialName("done")
    data object Done : CommandResult()

    @Serializable
    @SerialName("published")
    data class Published(
        val revision: Long,
    ) : CommandResult()

    /**
     * The revision in force after [Command.AdoptConfig]. [isChanged] if it is the revision that the command contained.
     */
    @Serializable
    @SerialName("adopted")
    data class Adopted(
        val revision: Long,
        val isChanged: Boolean,
    ) : CommandResult()

    /** Another set of services was published on the same base revision first. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val revision: Long,
        val winner: OperationId?,
    ) : CommandResult()

    @Serializable
    @SerialName("claim")
    data class Claim(
        val state: ClaimState,
    ) : CommandResult()

    @Serializable
    @SerialName("drained")
    data class Drained(
        val drainVersion: Long,
    ) : CommandResult()

    /** The command is not valid in the current state, for the reason in [message]. Nothing was changed. */
    @Serializable
    @SerialName("rejected")
    data class Rejected(
        val code: String,
        val message: String,
    ) : CommandResult()
}

/** The state of a claim, as returned for a [Command.ClaimRequest]. */
@Serializable
sealed class ClaimState {
    /** The claim was given to the claimant in the command. */
    @Serializable
    @SerialName("accepted")
    data object Accepted : ClaimState()

    @Serializable
    @SerialName("running")
    data class Running(
        val claimant: Claimant,
        val deadlineMs: Long,
    ) : ClaimState()

    @Serializable
    @SerialName("finished")
    data class Finished(
        val result: ClaimResult,
    ) : ClaimState()

    /** The request may have run, but its outcome is not known. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : ClaimState()

    @Serializable
    @SerialName("other_body")
    data object OtherBody : ClaimState()
}
