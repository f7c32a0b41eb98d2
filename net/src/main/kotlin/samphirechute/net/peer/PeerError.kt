package samphirechute.net.peer

/** Why a call to another instance returned no usable reply. */
sealed class PeerError {
    abstract val detail: String

    /** No connection could be opened, so nothing was sent. */
    data class Unreachable(
        override val detail: String,
    ) : PeerError()

    /** The request was sent but no usable reply arrived; the peer may have carried it out. */
    data class Lost(
        override val detail: String,
    ) : PeerError()

    /** The peer responded with an error status. */
    data class Refused(
        val status: Int,
        val body: String,
    ) : PeerError() {
        override val detail get() = "status $status: $body"
    }
}
