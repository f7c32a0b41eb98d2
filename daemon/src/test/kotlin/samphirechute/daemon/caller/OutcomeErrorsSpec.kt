package samphirechute.daemon.caller

import org.junit.jupiter.api.Nested
import samphirechute.core.RunState
import samphirechute.routing.flow.FlowCode
import samphirechute.routing.flow.FlowOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class OutcomeErrorsSpec {
    private val codes =
        listOf(
            FlowCode.DEADLINE_EXCEEDED,
            FlowCode.DEADLINE_UNREACHABLE,
            FlowCode.NO_CAPACITY,
            FlowCode.UPSTREAM_REFUSED,
            FlowCode.UPSTREAM_UNREACHABLE,
            FlowCode.UPSTREAM_FAILED,
            FlowCode.OUTCOME_UNKNOWN,
            FlowCode.ANSWER_NOT_KEPT,
            FlowCode.IN_PROGRESS,
            FlowCode.REQUEST_ID_REUSED,
            FlowCode.STORE_UNAVAILABLE,
            FlowCode.CALLER_GONE,
            null,
        )

    private fun status(
        code: String?,
        runState: RunState,
    ) = FlowOutcome(runState, code, "message", retryAfterMs = 100).toRequestError().status

    @Nested
    inner class Statuses {
        /** Guards against a status that promises that a request has not run, although an earlier attempt may have run it. */
        @Test
        fun `promise nothing unless the request has not run`() {
            for (code in codes) {
                for (runState in RunState.entries - RunState.NOT_RUN) {
                    val status = status(code, runState)
                    assertFalse(status in setOf(408, 421, 429, 503), "$code, $runState: $status")
                }
            }
        }

        @Test
        fun `promise it when the request has not run and may be sent again`() {
            val codes = listOf(FlowCode.NO_CAPACITY, FlowCode.DEADLINE_UNREACHABLE, FlowCode.STORE_UNAVAILABLE)
            assertEquals(listOf(503, 503, 503), codes.map { status(it, RunState.NOT_RUN) })
        }
    }
}
