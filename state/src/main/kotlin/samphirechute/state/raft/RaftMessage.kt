package samphirechute.state.raft

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.state.command.StoreMember
import samphirechute.state.store.SnapshotPart

/**
 * A message between store members. [from] identifies the sender's disk, so that a vote or an
 * acknowledgement from a new disk is never counted for the wiped disk that it replaces.
 *
 * An append or snapshot request contains the monotonic clock of its sender as `sentMs`, which the reply returns as
 * `echoMs`. `wallMs` is the wall clock of the member that replies.
 */
@Serializable
sealed class RaftMessage {
    abstract val from: DiskIdentity

    /**
     * The sender's term. In a [PreVoteRequest] and a granted [PreVoteReply], the term that the candidate would enter.
     */
    abstract val term: Long

    /** The voter that is asked. Its machine answers [DiskLost] if it has another disk by now. */
    open val to: DiskIdentity? get() = null

    /**
     * Asks whether a vote would be granted. It raises no term, so a returning isolated member does not disrupt the
     * leader.
     */
    @Serializable
    @SerialName("pre_vote_request")
    data class PreVoteRequest(
        override val from: DiskIdentity,
        override val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
        override val to: DiskIdentity? = null,
        /** The lost disks that the sender knows of. */
        val lostDisks: List<DiskIdentity> = emptyList(),
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
        override val to: DiskIdentity? = null,
    ) : RaftMessage()

    @Serializable
    @SerialName("vote_reply")
    data class VoteReply(
        override val from: DiskIdentity,
        override val term: Long,
        val isGranted: Boolean,
    ) : RaftMessage()

    /** Answers a request to a voter whose disk [lost] the sender has replaced. */
    @Serializable
    @SerialName("disk_lost")
    data class DiskLost(
        override val from: DiskIdentity,
        override val term: Long,
        val lost: DiskIdentity,
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
     * Answers the request with the same [prevIndex]. The log up to [matchIndex] is durable at the sender. Without a
     * match, [lastIndex] is the last index that may match, from which the leader continues.
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

    /** Answers a [SnapshotRequest]. [nextPart] is the number of the first part that the sender does not have. */
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

    /** Asks the leader to remove the sender from the voters, because it stops. Repeated until it is answered. */
    @Serializable
    @SerialName("leave_request")
    data class LeaveRequest(
        override val from: DiskIdentity,
        override val term: Long,
    ) : RaftMessage()

    /** Answers a [LeaveRequest]. [hasLeft] once the removal of the member that asked is committed. */
    @Serializable
    @SerialName("leave_reply")
    data class LeaveReply(
        override val from: DiskIdentity,
        override val term: Long,
        val hasLeft: Boolean,
    ) : RaftMessage()

    /**
     * Sent by a member that no leader contacts, to make its disk known. [inReplyTo] is null except in a reply to a
     * member with an empty log.
     */
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
