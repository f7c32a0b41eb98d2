package samphirechute.daemon.peer

/** Why a call to another instance gave no usable answer. */
internal sealed class PeerError {
    /** Nothing was sent. */
    data class Unreachable(
        val detail: String,
    ) : PeerError()

    /** The call may have been carried out. */
    data class Lost(
        val detail: String,
    ) : PeerError()

    /** The peer answered with an error. */
    data class Refused(
        val status: Int,
        val body: String,
    ) : PeerError()
}
