package samphirechute.state.raft

import samphirechute.state.store.SnapshotPart
import samphirechute.state.store.StoreState
import samphirechute.state.store.snapshotParts

/** What the leader knows about the log of one follower or learner. */
internal class Progress(
    val identity: DiskIdentity,
    var nextIndex: Long,
    private val startedMs: Long,
) {
    var matchIndex = 0L

    /** The send time of the latest request that this member has answered. */
    var ackedSentMs: Long? = null
    var wallOffsetMs: Long? = null
    var transfer: SnapshotTransfer? = null

    /** Since when this member's disk has confirmed nothing although it lacks entries; null if it lacks none. */
    var unconfirmedSinceMs: Long? = null
        private set
    private var observedMatch = 0L

    val hasAnswered get() = ackedSentMs != null

    /** The time since the latest request that this member has answered was sent. */
    fun silentMs(nowMs: Long): Long = nowMs - maxOf(ackedSentMs ?: startedMs, startedMs)

    fun observeDisk(
        lastIndex: Long,
        nowMs: Long,
    ) {
        when {
            matchIndex >= lastIndex -> unconfirmedSinceMs = null
            unconfirmedSinceMs == null || matchIndex > observedMatch -> unconfirmedSinceMs = nowMs
        }
        observedMatch = matchIndex
    }

    fun recordContact(
        echoMs: Long,
        wallMs: Long,
        nowMs: Long,
    ) {
        ackedSentMs = maxOf(ackedSentMs ?: echoMs, echoMs)
        wallOffsetMs = wallMs - nowMs
    }
}

/** The transfer of a snapshot to one member, one part at a time. */
internal class SnapshotTransfer(
    val state: StoreState,
) {
    private val parts = state.snapshotParts().iterator()
    var part: SnapshotPart = parts.next()
        private set
    var partNumber = 0
        private set
    var sentMs = 0L
    var sentPart = -1
    val isLast get() = !parts.hasNext()

    /** Moves on to part [number]. Returns true if there is no such part, which means that all have been received. */
    fun advanceTo(number: Int): Boolean {
        while (partNumber < number) {
            if (isLast) return true
            part = parts.next()
            partNumber++
        }
        return false
    }
}
