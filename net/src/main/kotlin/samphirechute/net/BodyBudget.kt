package samphirechute.net

/**
 * Limits the total bytes of request bodies that one server holds in memory at a time. Shared by all connections of a
 * [HttpServer] and confined to the loop.
 */
class BodyBudget(
    private val limitBytes: Long,
) {
    var usedBytes = 0L
        private set

    /** Reserves [bytes]; returns false and reserves nothing when they exceed the limit. */
    fun reserve(bytes: Long): Boolean {
        if (usedBytes + bytes > limitBytes) return false
        usedBytes += bytes
        return true
    }

    fun release(bytes: Long) {
        usedBytes -= bytes
    }
}
