package samphirechute.core.api

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.timeline.TimelineEvent

/** The recent events of one instance, oldest first. */
@Serializable
data class TimelineView(
    val instance: InstanceId,
    val events: List<TimelineEvent>,
)
