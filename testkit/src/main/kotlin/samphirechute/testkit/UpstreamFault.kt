package samphirechute.testkit

/** A fault that a stand-in shows while it is switched on, or once. */
enum class UpstreamFault(
    /** True for what happens at once when it is switched on, and does not last. */
    val isOnce: Boolean = false,
) {
    /** Closes all connections and stops announcing. */
    DIE(isOnce = true),

    /** Accepts requests and sends nothing, on open streams too. */
    SILENT,

    /** Sends lines that are no JSON. */
    GARBAGE,

    /** Sends the lines of another request. */
    CROSSED,

    /** Sends everything some time later. */
    LATE,

    /** Refuses new requests before they run. */
    REFUSE,

    /** Becomes cold and loses its cache, without an announcement. */
    COLD(isOnce = true),

    /** Closes the connection in the middle of each stream. */
    CLOSE,

    /** Loses its cache without a cache event. */
    LOSE_CACHE(isOnce = true),
    ;

    companion object {
        fun parse(name: String?): UpstreamFault? = entries.firstOrNull { it.name.equals(name, ignoreCase = true) }
    }
}

/** The faults that are switched on. Confined to the loop. */
class FaultSwitch {
    private val active = mutableSetOf<UpstreamFault>()

    fun isOn(fault: UpstreamFault) = fault in active

    fun set(
        fault: UpstreamFault,
        isOn: Boolean,
    ) {
        if (isOn && !fault.isOnce) active += fault else active -= fault
    }

    fun clear() = active.clear()
}
