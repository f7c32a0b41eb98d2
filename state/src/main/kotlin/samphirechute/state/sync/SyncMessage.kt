package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.state.drain.DrainRecord
import samphirechute.state.drain.OverlayEntry

/** What instances send each other. Field names are short, since the messages are frequent. */
@Serializable
sealed class SyncMessage {
    abstract val sender: SyncSender
    abstract val data: SyncData

    /**
     * Tells the versions of the sender and asks for what it lacks. [grants] are all those it holds of the receiver as
     * coordinator; null when the message does not tell them. [wantedDigests] are the failure domains whose digest the
     * sender lacks or will soon; digests change all the time, so their versions in each message would cost more.
     */
    @Serializable
    @SerialName("ask")
    data class Ask(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
        @SerialName("h") val grants: HeldGrants? = null,
        @SerialName("w") val wantedDigests: List<FailureDomain> = emptyList(),
    ) : SyncMessage()

    /** Answers [Ask] with what its sender lacks. */
    @Serializable
    @SerialName("reply")
    data class Reply(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
    ) : SyncMessage()

    /** Passes on a change at once. It is not answered. */
    @Serializable
    @SerialName("push")
    data class Push(
        @SerialName("s") override val sender: SyncSender,
        @SerialName("d") override val data: SyncData = SyncData(),
    ) : SyncMessage()
}

/** All grants of one coordinator that an instance holds; [payload] is null for none and not interpreted here. */
@Serializable
data class HeldGrants(
    @SerialName("p") val payload: JsonElement? = null,
)

/** Who sends, and the versions of what it has. The member hash is only compared within one failure domain. */
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
    /** True on a store member whose copy of the log is up to date. */
    @SerialName("k") val isStoreCurrent: Boolean = false,
)

/** What the receiver lacks, as far as the sender knows. */
@Serializable
data class SyncData(
    @SerialName("c") val configuration: ConfigurationUpdate? = null,
    @SerialName("d") val drains: DrainRecord? = null,
    @SerialName("o") val overlay: List<OverlayEntry> = emptyList(),
    @SerialName("m") val members: Map<InstanceId, MemberRow> = emptyMap(),
    @SerialName("b") val heartbeats: Map<InstanceId, Long> = emptyMap(),
    @SerialName("g") val digests: List<DomainDigest> = emptyList(),
)
