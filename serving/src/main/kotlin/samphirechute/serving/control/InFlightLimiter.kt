package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog

/**
 * Limits the messages of the replicated log that each member has not yet confirmed. Without it every message to a
 * member that is slow or has lost power would hold a connection of its own. Messages beyond the limit are dropped,
 * which is safe, since the log sends again what matters.
 */
internal class InFlightLimiter(
    private val maxPerInstance: Int = MAX_PER_INSTANCE,
) {
    private val counts = HashMap<InstanceId, Int>()

    /** Members that have reached the limit, so that the log names each once. */
    private val limited = HashSet<InstanceId>()

    /** True when one more message may be sent to [instance]; [release] must be called when that message is done. */
    fun tryAcquire(instance: InstanceId): Boolean {
        val count = counts[instance] ?: 0
        if (count >= maxPerInstance) {
            if (limited.add(instance)) log.event("messages_withheld", mapOf("to" to instance, "unanswered" to count))
            return false
        }
        counts[instance] = count + 1
        return true
    }

    /** Ends a message that [tryAcquire] allowed, be it confirmed or failed. */
    fun release(instance: InstanceId) {
        val remaining = (counts[instance] ?: return) - 1
        if (remaining > 0) {
            counts[instance] = remaining
            return
        }
        counts -= instance
        if (limited.remove(instance)) log.event("messages_resumed", mapOf("to" to instance))
    }

    private companion object {
        /** A message takes about 2 ms; a leader sends ten heartbeats a second, and a message for each write. */
        const val MAX_PER_INSTANCE = 16
        val log = KeyValueLog("store")
    }
}
