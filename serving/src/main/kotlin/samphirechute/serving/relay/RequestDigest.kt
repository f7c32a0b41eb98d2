package samphirechute.serving.relay

import samphirechute.core.RequestTrait
import samphirechute.core.TeamName
import samphirechute.net.ServerRequest
import java.security.MessageDigest
import java.util.HexFormat

/*
 * Recognizes a whole request that a caller sends again: the same method, host, path, query, body and caller. Identifiers,
 * deadlines and other headers differ between repeats, and the upstream to which it is sent does not matter.
 */

/** Bytes of the digest that are kept; two different requests with the same one are not to be expected. */
private const val DIGEST_BYTES = 16

/** Keeps fields apart: none of them contains it. */
private const val SEPARATOR: Byte = 0

/**
 * Returns the trait that only repeats of [request] by the same caller have. The caller is its [team] or, without one, its
 * [key]; two callers that send the same are two requests, so nobody can have another one's request refused.
 */
internal fun wholeRequestTrait(
    request: ServerRequest,
    host: String,
    team: TeamName?,
    key: String?,
): RequestTrait {
    val digest = MessageDigest.getInstance("SHA-256")
    val caller = team?.let { "team ${it.value}" } ?: key?.let { "key $it" }.orEmpty()
    for (field in listOf(request.method, host.lowercase(), request.uri, caller)) {
        digest.update(field.encodeToByteArray())
        digest.update(SEPARATOR)
    }
    digest.update(request.body)
    return RequestTrait.wholeRequest(HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES))
}
