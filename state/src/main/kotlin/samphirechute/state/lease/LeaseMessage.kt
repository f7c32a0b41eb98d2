package samphirechute.state.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId

/** The messages between the voters of one failure domain. Field names are short because renewals are frequent. */
@Serializable
sealed class LeaseMessage {
    /**
     * Asks whether the voter would vote for the sender. The answer does not bind the voter, so a candidate that cannot
     * receive answers does not block the others.
     */
    @Serializable
    @SerialName("probe")
    data class Probe(
        @SerialName("c") val candidate: LeaseHolder,
        @SerialName("r") val round: Long,
    ) : LeaseMessage()

    /** Asks for a vote or its renewal. [isHolding] is true when the sender already holds the lease. */
    @Serializable
    @SerialName("ask")
    data class VoteRequest(
        @SerialName("c") val candidate: LeaseHolder,
        @SerialName("r") val round: Long,
        @SerialName("h") val isHolding: Boolean = false,
    ) : LeaseMessage()

    /**
     * Answers [Probe] and [VoteRequest]. A refusal carries the highest epoch that the voter has seen, and the holder
     * that it knows with the remaining time.
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
        @SerialName("l") val knownRemainingMs: Long = 0,
    ) : LeaseMessage()

    /** The sender will never again use votes that it got for this epoch or an earlier one. */
    @Serializable
    @SerialName("release")
    data class Release(
        @SerialName("c") val candidate: LeaseHolder,
    ) : LeaseMessage()
}
