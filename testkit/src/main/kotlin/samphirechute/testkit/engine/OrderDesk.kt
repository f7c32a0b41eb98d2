package samphirechute.testkit.engine

/** Takes orders that carry a fencing number. An engine that ignores the number executes old ones too. */
class OrderDesk(
    private val checksFencing: Boolean,
) {
    private val accepted = LinkedHashMap<String, AcceptedOrder>()

    var highestFencing = 0L
        private set

    /** The orders executed, oldest first. */
    val executed: List<AcceptedOrder> get() = accepted.values.toList()

    /** False when the order is older than one seen before. A repeated operation is executed once. */
    fun accept(
        operationId: String,
        fencing: Long,
        order: String,
    ): Boolean {
        if (checksFencing && fencing < highestFencing) return false
        highestFencing = maxOf(highestFencing, fencing)
        accepted.getOrPut(operationId) { AcceptedOrder(operationId, fencing, order) }
        return true
    }
}

data class AcceptedOrder(
    val operationId: String,
    val fencing: Long,
    val order: String,
)
