package samphirechute.routing.flow.matrix

/**
 * The faults of the fault matrix. A fault of an engine affects the one that serves the request or would be asked first.
 */
internal enum class Fault {
    ENGINE_DIES,
    ENGINE_COLD,
    ENGINE_SILENT,
    ENGINE_LATE,
    ENGINE_CROSSED,
    ENGINE_REFUSES,
    STALE_LOAD,
    CACHE_LOST,
    INSTANCE_DIES,
    CONNECTION_CUT,
    CONNECTION_SILENT,
    COORDINATOR_DIES,
    DOMAIN_CUT,
    CALLER_GONE,
}

/** The step of a request at which a fault is injected. */
internal enum class Step {
    ACCEPTED,
    QUEUED,
    GRANT_TAKEN,
    DISPATCHED,
    PREFILL,
    FIRST_TOKEN,
    MID_STREAM,
    LAST_TOKEN,
    ACKNOWLEDGED,
}

/** A fault, and the step at which the simulation injects it. */
internal data class InjectedFault(
    val fault: Fault,
    val step: Step,
) {
    override fun toString() = "$fault at $step"
}

/** The kinds of requests in the fault matrix. */
internal enum class Profile(
    val tokens: Int,
    val prefillMs: Long,
    val tokenMs: Long,
    val deadlineMs: Long,
) {
    STREAM(tokens = 20, prefillMs = 100, tokenMs = 5, deadlineMs = 12_000),
    URGENT_STREAM(tokens = 20, prefillMs = 100, tokenMs = 5, deadlineMs = 1_400),
    PLAIN(tokens = 1, prefillMs = 30, tokenMs = 0, deadlineMs = 6_000),
}

/** One case of the fault matrix: a kind of request, and the faults injected in order while it runs. */
internal data class Cell(
    val profile: Profile,
    val isNonRepeatable: Boolean,
    val faults: List<InjectedFault>,
)
