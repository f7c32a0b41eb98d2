package samphirechute.routing.ledger

/** Whether this instance is coordinator, and since when. */
internal class EpochState(
    private val limits: LedgerLimits,
) {
    private var current: Long? = null
    private var beganMs = 0L

    val isActive: Boolean get() = current != null
    val number: Long get() = checkNotNull(current) { "no epoch is held" }

    fun begin(
        epoch: Long,
        nowMs: Long,
    ) {
        current = epoch
        beganMs = nowMs
    }

    fun end() {
        current = null
    }

    fun mayGrant(nowMs: Long) = isActive && nowMs - beganMs >= limits.learningMs

    /** True while holders may still list grants of an earlier epoch, and upstreams may not have reported yet. */
    fun isLearning(nowMs: Long) = isActive && nowMs - beganMs < limits.leaseMs
}
