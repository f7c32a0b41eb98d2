package samphirechute.daemon.http

import samphirechute.net.ServerRequest
import java.security.MessageDigest

/**
 * Checks the shared key of a role in constant time. A role without a key is open to everyone; settings allow that only
 * on loopback addresses.
 */
internal class KeyCheck(
    private val role: String,
    private val key: String?,
) {
    private val expected = key?.encodeToByteArray()

    /** The error to answer with, or null when the request may pass. */
    fun check(request: ServerRequest): RequestError? {
        val wanted = expected ?: return null
        val given = request.header("Authorization")?.removePrefix("Bearer ").orEmpty()
        return if (MessageDigest.isEqual(wanted, given.encodeToByteArray())) null else RequestError.Unauthorized(role)
    }
}
