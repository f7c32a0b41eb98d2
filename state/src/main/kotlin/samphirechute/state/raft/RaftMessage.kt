package samphirechute.state.raft

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.state.command.StoreMember
import samphirechute.state.store.SnapshotPart

/**
 * A message between members of the log. [from] names the sender's disk, so a vote or an acknowledgement of a wiped
 * disk is never counted for the member that it replaced. Times are those of the receiver of the reply, echoed.
 */
@Serializable
sealed class RaftMessage {
    abstract val from: DiskIdentity

    /** The sender's term, but for [PreVoteRequest] and a granted [PreVoteReply], which name the term asked for. */
    abstract val term: Long

    /** Asks whether a vote would be granted; raises no term, so an isolated member disturbs nobody on its return. */
    @Serializable
    @SerialName("pre_vote_request")
    data class PreVoteRequest(
        override val from: DiskIdentity,
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
    ) : RaftMessage()

    @Serializable
    @SerialName("pre_vote_reply")
    data class PreVoteReply(
        override val from: DiskIdentity,
        override val term: Long,
        val isGranted: Boolean,
    ) : RaftMessage()

    @Serializable
    @SerialName("vote_request")
    data class VoteRequest(
        override val from: DiskIdentity,
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
    ) : RaftMessage()

    @Serializable
    @SerialName("vote_reply")
    data class VoteReply(
        override val from: DiskIdentity,
        override val term: Long,
        val isGranted: Boolean,
    ) : RaftMessage()

    /** Entries after [prevIndex], or a heartbeat when there are none. */
    @Serializable
    @SerialName("append_request")
    data class AppendRequest(
        override val from: DiskIdentity,
        override val term: Long,
        val prevIndex: Long,
        val prevTerm: Long,
        val entries: List<LogEntry>,
        val commitIndex: Long,
        val sentMs: Long,
    ) : RaftMessage()

    /**
     * Answers the request that followed [prevIndex]. [matchIndex] is durable at the sender. Without a match, [lastIndex]
     * says where the leader may try next.
     */
    @Serializable
    @SerialName("append_reply")
    data class AppendReply(
        override val from: DiskIdentity,
        override val term: Long,
        val isMatch: Boolean,
        val prevIndex: Long,
        val matchIndex: Long,
        val lastIndex: Long,
        val echoMs: Long,
        val wallMs: Long,
    ) : RaftMessage()

    @Serializable
    @SerialName("snapshot_request")
    data class SnapshotRequest(
        override val from: DiskIdentity,
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
        val partNumber: Int,
        val part: SnapshotPart,
        val isLast: Boolean,
        val sentMs: Long,
    ) : RaftMessage()

    /** [nextPart] is the number of the part that the sender lacks. */
    @Serializable
    @SerialName("snapshot_reply")
    data class SnapshotReply(
        override val from: DiskIdentity,
        override val term: Long,
        val lastIndex: Long,
        val nextPart: Int,
        val echoMs: Long,
        val wallMs: Long,
    ) : RaftMessage()

    /** Sent by a member with an empty log until it has one. [inReplyTo] is null in a question. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        override val from: DiskIdentity,
        override val term: Long,
        val member: StoreMember,
        val isEmpty: Boolean,
        val inReplyTo: DiskIdentity?,
    ) : RaftMessage()
}
