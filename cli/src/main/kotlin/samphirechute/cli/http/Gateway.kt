package samphirechute.cli.http

import com.github.michaelbull.result.Result
import samphirechute.core.HostPort

/** Sends requests to servers and waits for their answers. */
internal interface Gateway {
    fun call(call: ApiCall): Result<ApiAnswer, CallFailure>

    /** Like [call], but passes the body to [sink] as it arrives; the body of the answer given back is empty. */
    fun stream(
        call: ApiCall,
        sink: AnswerSink,
    ): Result<ApiAnswer, CallFailure>
}

/** Takes an answer piece by piece. */
internal interface AnswerSink {
    fun onHead(
        status: Int,
        headers: Map<String, String>,
    )

    fun onPiece(bytes: ByteArray)
}

internal data class ApiCall(
    val server: HostPort,
    val method: String,
    val path: String,
    val headers: Map<String, String> = emptyMap(),
    val body: String? = null,
    val timeoutMs: Long,
)

/** Header names are in lower case. */
internal data class ApiAnswer(
    val status: Int,
    val headers: Map<String, String> = emptyMap(),
    val body: String = "",
)

/** No complete answer. [mayHaveArrived] is false when nothing was sent. */
internal data class CallFailure(
    val message: String,
    val mayHaveArrived: Boolean,
)
