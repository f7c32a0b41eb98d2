package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import samphirechute.core.RequestId
import samphirechute.core.api.ApiHeaders
import samphirechute.daemon.http.RequestError
import java.util.UUID

/**
 * Sets the request identifier: the one that the caller sent, or a generated one if the request is repeatable. A
 * non-repeatable request without an identifier is refused.
 */
internal class IdentityFilter : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        val given = draft.source.header(ApiHeaders.IDEMPOTENCY_KEY)
        val kind = draft.source.header(KIND_HEADER)
        val isNonRepeatable = draft.service.isNonRepeatable(draft.source.method, draft.path, kind)
        if (given == null && isNonRepeatable) return Err(RequestError.MissingRequestId)
        if (given != null && !PATTERN.matches(given)) {
            return Err(
                RequestError.InvalidHeader(
                    ApiHeaders.IDEMPOTENCY_KEY,
                    "1 to 128 letters, digits, '-', '_', '.' or ':'",
                ),
            )
        }
        val requestId = RequestId(given ?: UUID.randomUUID().toString())
        return Ok(draft.copy(requestId = requestId, isNonRepeatable = isNonRepeatable))
    }

    private companion object {
        const val KIND_HEADER = "X-Request-Kind"
        val PATTERN = Regex("[A-Za-z0-9._:-]{1,128}")
    }
}
