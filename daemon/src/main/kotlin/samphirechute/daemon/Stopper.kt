package samphirechute.daemon

import samphirechute.daemon.caller.CallerApi
import samphirechute.daemon.document.DocumentRunners

/**
 * A planned stop: the instance is not ready at once, takes requests until the balancer has noticed, finishes those it
 * has, and then ends with status 0. A second signal, or the stop limit, ends it with status 1 and the count of requests
 * that were cut off.
 */
internal class Stopper(
    private val runtime: Runtime,
    private val lifecycle: Lifecycle,
    private val callers: CallerApi,
    private val documents: DocumentRunners,
    private val onLeaving: () -> Unit,
    private val exit: (Int) -> Unit,
) {
    private var isEnded = false

    fun signalled() {
        if (lifecycle.isLeaving) return end()
        lifecycle.isLeaving = true
        runtime.ring.record("stop_requested", null, "running" to callers.runningRequests, "documents" to running())
        onLeaving()
        runtime.timer.after(BALANCER_NOTICE_MS) { lifecycle.isRefusing = true }
        runtime.timer.after(runtime.settings.limits.stopLimitMs) { end() }
        runtime.timer.every(CHECK_MS) { if (lifecycle.isRefusing && callers.runningRequests == 0) end() }
    }

    /** Documents are not waited for, since they may run for hours; they are run again elsewhere after their lease. */
    private fun running() = documents.runningDocuments

    private fun end() {
        if (isEnded) return
        isEnded = true
        val cut = callers.runningRequests
        runtime.ring.record("stopped", null, "cut" to cut, "documents" to running())
        exit(if (cut == 0) 0 else 1)
    }

    private companion object {
        /** Balancers commonly check each second; two failed checks pass before the first refusal. */
        const val BALANCER_NOTICE_MS = 2_000L
        const val CHECK_MS = 50L
    }
}
