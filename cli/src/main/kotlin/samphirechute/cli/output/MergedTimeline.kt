package samphirechute.cli.output

import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.api.TimelineView
import samphirechute.core.timeline.TimelineEvent
import java.time.Instant

/** The events of several instances in one order. [missing] names the instances that did not answer. */
@Serializable
internal data class MergedTimeline(
    val events: List<TimelineEvent>,
    val missing: List<InstanceId> = emptyList(),
) {
    fun lines(): List<String> =
        events.map { event ->
            val request = event.requestId?.let { " request_id=$it" }.orEmpty()
            val fields = event.fields.entries.joinToString("") { (key, value) -> " $key=$value" }
            "${Instant.ofEpochMilli(event.timestamp.wallMs)}  ${event.instance}  ${event.event}$request$fields"
        }

    companion object {
        /**
         * Merges by timestamp, then by instance. Events of one instance with equal timestamps keep their order. An
         * instance that was asked twice counts once.
         */
        fun merge(
            views: List<TimelineView>,
            missing: List<InstanceId> = emptyList(),
        ): MergedTimeline {
            val events = views.distinctBy { it.instance }.flatMap { it.events }
            return MergedTimeline(events.sortedWith(compareBy({ it.timestamp }, { it.instance })), missing)
        }
    }
}
