package samphirechute.core.timeline

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.RequestId

/** One event of one process, as shown on the timeline. */
@Serializable
data class TimelineEvent(
    val timestamp: HybridTimestamp,
    val instance: InstanceId,
    val event: String,
    val requestId: RequestId? = null,
    val fields: Map<String, String> = emptyMap(),
)
