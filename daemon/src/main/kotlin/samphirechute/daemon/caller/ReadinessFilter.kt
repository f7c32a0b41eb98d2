package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import samphirechute.daemon.http.RequestError

/** Refuses requests while the instance is starting, leaving or drained. */
internal class ReadinessFilter(
    private val notReadyReason: () -> String?,
) : RequestFilter {
    override fun apply(draft: RequestDraft) = notReadyReason()?.let { Err(RequestError.NotReady(it)) } ?: Ok(draft)
}
