package samphirechute.state.raft

import samphirechute.state.store.SnapshotPart
import samphirechute.state.store.StoreState
import samphirechute.state.store.snapshotParts

/** What a leader knows of one other member, or of one that is being added. */
internal class Progress(
    val identity: DiskIdentity,
    var nextIndex: Long,
) {
    var matchIndex = 0L

    /** When the latest request was sent that this member has answered. */
    var ackedSentMs: Long? = null
    var wallOffsetMs: Long? = null
    var transfer: SnapshotTransfer? = null

    fun recordContact(
        echoMs: Long,
        wallMs: Long,
        nowMs: Long,
    ) {
        ackedSentMs = maxOf(ackedSentMs ?: echoMs, echoMs)
        wallOffsetMs = wallMs - nowMs
    }
}

/** A snapshot on its way to one member, one part at a time. */
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

    /** Moves on to part [number]; true when there is no such part, so that all have been received. */
    fun advanceTo(number: Int): Boolean {
        while (partNumber < number) {
            if (isLast) return true
            part = parts.next()
            partNumber++
        }
        return false
    }
}
