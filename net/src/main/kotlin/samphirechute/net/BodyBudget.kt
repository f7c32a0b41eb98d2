package samphirechute.net

/** Bounds the bytes of request bodies that one process holds in memory at a time. Confined to the loop. */
class BodyBudget(
    private val limitBytes: Long,
) {
    var usedBytes = 0L
        private set

    /** Takes [bytes]; false, and nothing taken, when they do not fit. */
    fun reserve(bytes: Long): Boolean {
        if (usedBytes + bytes > limitBytes) return false
        usedBytes += bytes
        return true
    }

    fun release(bytes: Long) {
        usedBytes -= bytes
    }
}
