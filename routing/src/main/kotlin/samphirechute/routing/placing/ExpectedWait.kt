package samphirechute.routing.placing

/** How long a request is expected to wait for capacity, and what it waits for. */
data class ExpectedWait(
    val waitMs: Long,
    /** The number of waiting requests that go first. */
    val position: Int,
    /**
     * The work that goes first: milliseconds of prefill on one engine for a prompt with a long prefill, otherwise requests.
     */
    val workAhead: Double,
    /** The time in which the work that is refused with this request becomes one request less. */
    val intervalMs: Long = 0,
)
