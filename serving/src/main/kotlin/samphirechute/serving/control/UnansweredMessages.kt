package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.core.log.KeyValueLog

/**
 * The messages of the replicated log that their receiver has not confirmed yet. The load that it answers is a member that
 * is slow, or has no power: each message to it would take a connection of its own, and the log sends what matters again.
 */
internal class UnansweredMessages(
    private val mostPerInstance: Int = MOST_PER_INSTANCE,
) {
    private val counts = HashMap<InstanceId, Int>()
    private val full = HashSet<InstanceId>()

    /** True when one more message may be sent to [instance], for which [giveBack] is then owed. */
    fun take(instance: InstanceId): Boolean {
        val count = counts[instance] ?: 0
        if (count >= mostPerInstance) {
            if (full.add(instance)) log.event("messages_withheld", mapOf("to" to instance, "unanswered" to count))
            return false
        }
        counts[instance] = count + 1
        return true
    }

    fun giveBack(instance: InstanceId) {
        val left = (counts[instance] ?: return) - 1
        if (left > 0) {
            counts[instance] = left
            return
        }
        counts -= instance
        if (full.remove(instance)) log.event("messages_resumed", mapOf("to" to instance))
    }

    private companion object {
        /** Messages wait for about 2 ms; a leader sends ten heartbeats a second, and one message for each write. */
        const val MOST_PER_INSTANCE = 16
        val log = KeyValueLog("store")
    }
}
