package samphirechute.state.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId

/** What the voters of one failure domain send each other. Field names are short, since renewals are frequent. */
@Serializable
sealed class LeaseMessage {
    /** Asks whether the voter would vote for the sender. It binds nobody, so a sender that is not heard blocks nothing. */
    @Serializable
    @SerialName("probe")
    data class Probe(
        @SerialName("c") val candidate: LeaseHolder,
        @SerialName("r") val round: Long,
    ) : LeaseMessage()

    /** Asks for a vote, or for its renewal. [isHolding] tells voters that the sender holds the lease. */
    @Serializable
    @SerialName("ask")
    data class Ask(
        @SerialName("c") val candidate: LeaseHolder,
        @SerialName("r") val round: Long,
        @SerialName("h") val isHolding: Boolean = false,
    ) : LeaseMessage()

    /**
     * Answers [Probe] and [Ask]. A refusal names the highest epoch the voter has voted for, and the holder it knows
     * with the time left.
     */
    @Serializable
    @SerialName("vote")
    data class Vote(
        @SerialName("v") val voter: InstanceId,
        @SerialName("e") val epoch: Long,
        @SerialName("r") val round: Long,
        @SerialName("y") val isGranted: Boolean,
        @SerialName("p") val isProbe: Boolean = false,
        @SerialName("m") val highestEpoch: Long = 0,
        @SerialName("k") val known: LeaseHolder? = null,
        @SerialName("l") val knownLeftMs: Long = 0,
    ) : LeaseMessage()

    /** The sender no longer uses votes for this epoch or an earlier one of its own, nor ever will. */
    @Serializable
    @SerialName("release")
    data class Release(
        @SerialName("c") val candidate: LeaseHolder,
    ) : LeaseMessage()
}
