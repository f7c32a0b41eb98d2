package samphirechute.core.timeline

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.log.KeyValueLog

/**
 * Keeps the latest [capacity] events of one process, which operators read as the timeline. Each recorded event is also
 * logged as one key=value line. Not thread-safe: use it on the event loop only.
 */
class EventRing(
    private val instance: InstanceId,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val clock: HybridClock = HybridClock(),
    private val log: KeyValueLog? = KeyValueLog("timeline"),
) {
    private val events = ArrayDeque<TimelineEvent>()

    fun record(
        event: String,
        requestId: RequestId? = null,
        vararg fields: Pair<String, Any?>,
    ) {
        val texts = fields.mapNotNull { (key, value) -> value?.let { key to it.toString() } }.toMap()
        if (events.size == capacity) events.removeFirst()
        events += TimelineEvent(clock.next(), instance, event, requestId, texts)
        log?.event(event, requestId?.let { texts + ("request_id" to it.value) } ?: texts)
    }

    /** Returns the events, oldest first; only those of [requestId] if it is given. */
    fun events(requestId: RequestId? = null): List<TimelineEvent> =
        events.filter { requestId == null || it.requestId == requestId }

    fun observe(received: HybridTimestamp) = clock.observe(received)

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
    }
}
