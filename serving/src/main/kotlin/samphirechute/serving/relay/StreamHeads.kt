package samphirechute.serving.relay

import samphirechute.core.ServiceName

/**
 * Knows for each service whether its upstreams send the head of a stream some time before the first event, by the last
 * answers here. Where they do, an upstream that ended without a head had not begun to run the request; where the head
 * comes with the first event, its absence says nothing. Before the first answer nothing is known.
 */
internal class StreamHeads {
    private val earlyHeads = HashMap<ServiceName, ArrayDeque<Boolean>>()

    /** Records an answer whose head came [leadMs] before its first event. */
    fun record(
        service: ServiceName,
        leadMs: Long,
    ) {
        val recent = earlyHeads.getOrPut(service) { ArrayDeque() }
        if (recent.size == RECENT_ANSWERS) recent.removeFirst()
        recent += leadMs >= EARLY_MS
    }

    /** Returns whether heads come before the first event. One is enough, since a late read hides the time between them. */
    fun areEarly(service: ServiceName): Boolean = earlyHeads[service].orEmpty().any { it }

    private companion object {
        const val RECENT_ANSWERS = 16
        const val EARLY_MS = 5L
    }
}
