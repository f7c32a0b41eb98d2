package samphirechute.net

import java.net.InetAddress

/**
 * Limits the memory that all connections of one [HttpServer] hold for the heads of requests, from the first line of a
 * head until the response is complete. It is counted as memory and not as bytes on the wire, since a header line of two
 * bytes takes many times as much as objects. Confined to the loop.
 *
 * When the limit or the share of a peer address is exceeded, the connection that holds the most for a request that has
 * not reached the handler gives way, so that a client that fills the memory does not keep out others.
 */
class RequestMemory(
    private val limitBytes: Long,
) {
    private val holders = LinkedHashSet<Holder>()
    private val bytesByPeer = HashMap<InetAddress?, Long>()
    var usedBytes = 0L
        private set

    /** Requests that were refused because the memory was used up. */
    var refusals = 0L
        private set

    /** The part of one connection. [evict] refuses a request that has not run; it is called at most once. */
    internal inner class Holder(
        val peer: InetAddress?,
        private val evict: () -> Unit,
    ) {
        var heldBytes = 0L
            private set

        /** False while the handler may run a request of this connection, which then must not be refused. */
        var isEvictable = true
        private var isClosed = false

        /** Changes what is held by [bytes]; returns false if that exceeds a limit although others gave way. */
        fun add(bytes: Long): Boolean {
            if (isClosed) return false
            change(bytes)
            if (bytes <= 0 || hasRoomAfterEvictions(this)) return true
            refusals++
            return false
        }

        fun giveWay() {
            refusals++
            close()
            evict()
        }

        fun close() {
            if (isClosed) return
            change(-heldBytes)
            isClosed = true
        }

        private fun change(bytes: Long) {
            heldBytes += bytes
            usedBytes += bytes
            if (heldBytes > 0) holders += this else holders -= this
            val peerBytes = (bytesByPeer[peer] ?: 0L) + bytes
            if (peerBytes > 0) bytesByPeer[peer] = peerBytes else bytesByPeer -= peer
        }
    }

    private fun hasRoomAfterEvictions(newest: Holder): Boolean {
        while (usedBytes > limitBytes || isOverShare(newest.peer)) {
            val isPeerFull = isOverShare(newest.peer)
            val candidates = holders.filter { it.isEvictable && (!isPeerFull || it.peer == newest.peer) }
            val largest = candidates.maxByOrNull { it.heldBytes }
            if (largest == null || largest === newest) return false
            largest.giveWay()
        }
        return true
    }

    private fun isOverShare(peer: InetAddress?) =
        bytesByPeer.size > 1 && (bytesByPeer[peer] ?: 0L) > limitBytes * PEER_PERCENT / PERCENT

    private companion object {
        /** What one peer address may hold while others have requests. */
        const val PEER_PERCENT = 75L
        const val PERCENT = 100L
    }
}
