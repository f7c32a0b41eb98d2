package samphirechute.routing.placing

import kotlinx.serialization.Serializable
import samphirechute.core.UpstreamId

/**
 * An engine that has long prompts left to prefill, as the coordinator knows it. Entry instances keep the last list for the time
 * in which no coordinator answers: each knows only its own requests, and would place short prompts behind the long ones of others.
 */
@Serializable
data class BusyUpstream(
    val upstream: UpstreamId,
    /** The time until the prefill is done, counted from when the list was made. */
    val prefillMs: Long,
)
