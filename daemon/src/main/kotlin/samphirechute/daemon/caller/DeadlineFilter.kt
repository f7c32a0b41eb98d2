package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import samphirechute.core.api.ApiHeaders
import samphirechute.daemon.http.RequestError

/** Sets the deadline of a request: that of its service, or the one in its header if that is shorter. */
internal class DeadlineFilter : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        val text =
            draft.source.header(ApiHeaders.DEADLINE_MS) ?: return Ok(draft.copy(deadlineMs = draft.service.deadlineMs))
        val givenMs = text.toLongOrNull()?.takeIf { it > 0 }
        givenMs ?: return Err(RequestError.InvalidHeader(ApiHeaders.DEADLINE_MS, "a positive number of milliseconds"))
        return Ok(draft.copy(deadlineMs = minOf(givenMs, draft.service.deadlineMs)))
    }
}
