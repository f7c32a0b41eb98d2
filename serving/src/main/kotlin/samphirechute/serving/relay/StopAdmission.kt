package samphirechute.serving.relay

import samphirechute.serving.cluster.Repeatability
import samphirechute.serving.cluster.Route
import kotlin.math.min

/**
 * Decides which requests an instance still takes while it stops. One that the time left does not cover is refused at
 * once: its caller can then ask another instance in time, and would otherwise wait for an answer that is cut at the end.
 */
internal class StopAdmission {
    private val recentMs = HashMap<String, ArrayDeque<Long>>()
    private var startedAtMs = 0L

    /** When the process ends, or null while it does not stop. */
    private var endsAtMs: Long? = null

    /** Records that the whole answer to a request of [route] took [tookMs]. */
    fun record(
        route: Route,
        tookMs: Long,
    ) {
        val recent = recentMs.getOrPut(route.name) { ArrayDeque() }
        if (recent.size == RECENT_ANSWERS) recent.removeFirst()
        recent += tookMs
    }

    /** Forgets the routes that [names] does not contain. */
    fun retain(names: Set<String>) {
        recentMs.keys.retainAll(names)
    }

    /** From [nowMs] on, requests are decided by the time that is left until [endsAtMs]. */
    fun begin(
        nowMs: Long,
        endsAtMs: Long,
    ) {
        startedAtMs = nowMs
        this.endsAtMs = endsAtMs
    }

    /** Returns whether the stop began before [arrivedMs]. */
    fun isLate(arrivedMs: Long) = endsAtMs != null && arrivedMs >= startedAtMs

    /** Decides on a request of [route] at [nowMs], or returns null while the process does not stop. */
    fun decide(
        route: Route,
        deadlineMs: Long?,
        nowMs: Long,
    ): StopDecision? {
        val leftMs = (endsAtMs ?: return null) - nowMs
        val ageMs = nowMs - startedAtMs
        val longestMs = min(deadlineMs ?: Long.MAX_VALUE, route.timeoutMs)
        val recent = recentMs[route.name].orEmpty()
        val mayRunAgain = route.isStream || route.repeatability == Repeatability.REPEATABLE
        val basis =
            when {
                !mayRunAgain -> StopBasis.UNSAFE
                ageMs >= BALANCER_NOTICE_MS -> StopBasis.NOTICED
                recent.size < KNOWN_ANSWERS -> StopBasis.UNKNOWN
                else -> StopBasis.RECENT
            }
        val neededMs = if (basis == StopBasis.RECENT) min(longestMs, recent.max()) else longestMs
        return StopDecision(leftMs, neededMs, basis, ageMs)
    }

    private companion object {
        /**
         * The balancer checks readiness every second and acts on the second refusal. From then on, a caller that is refused
         * reaches another instance, unless the balancer uses all of them because most are not ready.
         */
        const val BALANCER_NOTICE_MS = 2_500L
        const val RECENT_ANSWERS = 64

        /** With fewer answers, their longest says little about the next one. */
        const val KNOWN_ANSWERS = 16
    }
}

/** Whether a request can end within the [leftMs] until the process does, and what that is concluded from. */
internal class StopDecision(
    val leftMs: Long,
    val neededMs: Long,
    val basis: StopBasis,
    val stopAgeMs: Long,
) {
    val isAdmitted: Boolean get() = leftMs >= neededMs
}

/** Why a request is expected to need its time: the longest of the recent answers, or all that it may take. */
internal enum class StopBasis {
    /** The longest of the recent answers of the route. */
    RECENT,

    /** Too few answers of the route have been seen. */
    UNKNOWN,

    /** The balancer sends new requests to other instances by now. */
    NOTICED,

    /** The request may run only once. */
    UNSAFE,
}
