package samphirechute.net.peer

/** Why a call to another instance gave no usable answer. */
sealed class PeerError {
    abstract val detail: String

    /** Nothing was sent. */
    data class Unreachable(
        override val detail: String,
    ) : PeerError()

    /** The call may have been carried out. */
    data class Lost(
        override val detail: String,
    ) : PeerError()

    /** The peer answered with an error. */
    data class Refused(
        val status: Int,
        val body: String,
    ) : PeerError() {
        override val detail get() = "status $status: $body"
    }
}
