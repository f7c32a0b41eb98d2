package samphirechute.net.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import samphirechute.core.HostPort
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.HttpClient

/**
 * Calls other instances. After a timeout, the idle connections to that address are closed, since they may have stopped
 * responding without being closed.
 */
class PeerClient(
    private val client: HttpClient,
    key: String? = null,
) {
    private val headers = key?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()

    /** Sends [message] and passes the decoded reply, or why there is none, to [onResult]. */
    fun <Q, A> call(
        address: HostPort,
        route: PeerRoute<Q, A>,
        message: Q,
        timeoutMs: Long,
        onResult: (Result<A, PeerError>) -> Unit,
    ): ClientCall {
        val body = PeerJson.encodeToString(route.request, message).encodeToByteArray()
        val request = ClientRequest(address, "POST", route.path, body, headers = headers)
        return client.call(request, timeoutMs) { result ->
            result.fold({ onResult(decodeReply(it, route.reply)) }, { onResult(Err(toPeerError(address, it))) })
        }
    }

    private fun toPeerError(
        address: HostPort,
        failure: ClientFailure,
    ): PeerError {
        if (failure is ClientFailure.TimedOut) client.closeIdleConnections(address)
        val isUnsent = failure is ClientFailure.ConnectFailed
        return if (isUnsent) PeerError.Unreachable(failure.message) else PeerError.Lost(failure.message)
    }

    private fun <A> decodeReply(
        response: ClientResponse,
        serializer: KSerializer<A>,
    ): Result<A, PeerError> {
        val text = response.body.decodeToString()
        if (response.status != OK) return Err(PeerError.Refused(response.status, text))
        return try {
            Ok(PeerJson.decodeFromString(serializer, text))
        } catch (error: SerializationException) {
            Err(PeerError.Lost("reply could not be decoded: ${error.message}"))
        }
    }

    private companion object {
        const val OK = 200
    }
}
