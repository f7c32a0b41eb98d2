package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.state.drain.DrainRecord
import samphirechute.state.drain.OverlayEntry

/** The sync messages between instances. Field names are short because the messages are frequent. */
@Serializable
sealed class SyncMessage {
    abstract val sender: SyncSender
    abstract val data: SyncData

    /**
     * Carries the versions of the sender and requests what it lacks. [grants] are all grants that the sender holds from
     * the receiver as coordinator; null when the message does not contain them. [requestedDigests] are the failure
     * domains whose digest the sender lacks or soon will. Digests change all the time, so sending their versions in
     * every message would cost more.
     */
    @Serializable
    @SerialName("ask")
    data class Request(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
        @SerialName("h") val grants: HeldGrants? = null,
        @SerialName("w") val requestedDigests: List<FailureDomain> = emptyList(),
        @SerialName("t") val requestsHeartbeats: Boolean = false,
    ) : SyncMessage()

    /** Answers [Request] with what the sender of the request lacks. */
    @Serializable
    @SerialName("reply")
    data class Reply(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
    ) : SyncMessage()

    /** Sends a change as soon as it happens. It is not answered. */
    @Serializable
    @SerialName("push")
    data class Push(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
    ) : SyncMessage()
}

/** All grants that an instance holds from one coordinator. [payload] is null for none, and not interpreted here. */
@Serializable
data class HeldGrants(
    @SerialName("p") val payload: JsonElement? = null,
)

/** The sender with the versions of its data. Member hashes are only compared within one failure domain. */
@Serializable
data class SyncSender(
    @SerialName("n") val instance: InstanceId,
    @SerialName("i") val incarnation: Long,
    @SerialName("b") val heartbeat: Long,
    @SerialName("c") val revision: Long = 0,
    @SerialName("d") val drainVersion: Long = 0,
    @SerialName("o") val overlayHash: Int = 0,
    @SerialName("m") val memberHash: Int = 0,
    @SerialName("l") val isLeaving: Boolean = false,
    /** True when the sender is a store member with an up-to-date copy of the log. */
    @SerialName("k") val isStoreReadable: Boolean = false,
)

/** The data that the receiver lacks, as far as the sender knows. */
@Serializable
data class SyncData(
    @SerialName("c") val configuration: ConfigurationUpdate? = null,
    @SerialName("d") val drains: DrainRecord? = null,
    @SerialName("o") val overlay: List<OverlayEntry> = emptyList(),
    @SerialName("m") val members: Map<InstanceId, MemberRow> = emptyMap(),
    @SerialName("b") val heartbeats: Map<InstanceId, Long> = emptyMap(),
    @SerialName("g") val digests: List<DomainDigest> = emptyList(),
)
