package samphirechute.routing.ledger

/** Whether this instance is the coordinator of the failure domain, with the epoch and the time since when it is. */
internal class EpochState(
    private val limits: LedgerLimits,
) {
    private var current: Long? = null
    private var beganMs = 0L

    val isActive: Boolean get() = current != null
    val number: Long get() = checkNotNull(current) { "this instance is not the coordinator" }

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

    /**
     * True for one lease time after the epoch began. Until then holders may still list grants of an earlier epoch, and
     * some upstreams may not have reported.
     */
    fun isLearning(nowMs: Long) = isActive && nowMs - beganMs < limits.leaseMs
}
