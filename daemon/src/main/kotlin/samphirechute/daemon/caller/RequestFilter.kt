package samphirechute.daemon.caller

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import samphirechute.daemon.http.RequestError

/** One step of the filter chain: it sets fields of the draft, or refuses the request, which then was not run. */
internal fun interface RequestFilter {
    fun apply(draft: RequestDraft): Result<RequestDraft, RequestError>
}

/** Runs the filters in order; the first refusal ends the chain. */
internal class FilterChain(
    private val filters: List<RequestFilter>,
) : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        val start: Result<RequestDraft, RequestError> = Ok(draft)
        return filters.fold(start) { result, filter -> result.andThen(filter::apply) }
    }
}
