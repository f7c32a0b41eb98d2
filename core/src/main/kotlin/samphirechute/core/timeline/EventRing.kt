package samphirechute.core.timeline

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.log.KeyValueLog

/**
 * The recent events of one process, bounded in number. Each recorded event is also written to the log as one
 * key=value line. Confined to the loop.
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

    /** Events in order of time; only those of [requestId] when it is given. */
    fun events(requestId: RequestId? = null): List<TimelineEvent> =
        events.filter { requestId == null || it.requestId == requestId }

    fun observe(received: HybridTimestamp) = clock.observe(received)

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
    }
}
