package samphirechute.serving.relay

import org.junit.jupiter.api.Nested
import samphirechute.serving.cluster.Repeatability
import samphirechute.serving.cluster.Route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StopAdmissionSpec {
    private val admission = StopAdmission()
    private val stream = route("stream", isStream = true, Repeatability.REPEATABLE)
    private val order = route("order", isStream = false, Repeatability.ONCE)

    private fun route(
        name: String,
        isStream: Boolean,
        repeatability: Repeatability,
    ) = Route(name, "host", "/", listOf(), repeatability, isStream, false, true, 2, TIMEOUT_MS, 300, null, 1)

    private fun known(
        route: Route,
        longestMs: Long,
    ) = repeat(ENOUGH) { admission.record(route, if (it == 0) longestMs else 10) }

    private fun isAdmitted(
        route: Route,
        afterMs: Long,
        deadlineMs: Long? = null,
    ) = checkNotNull(admission.decide(route, deadlineMs, STOP_MS + afterMs)).isAdmitted

    @Nested
    inner class Requests {
        @Test
        fun `are not decided about while the process does not stop`() = assertNull(admission.decide(stream, null, 0))

        /** Guards against a stream that is cut although the answers before it took longer than the time left. */
        @Test
        fun `are taken while the time left covers the longest of the recent answers`() {
            known(stream, longestMs = 6_000)
            admission.begin(STOP_MS, STOP_MS + LIMIT_MS)
            assertTrue(isAdmitted(stream, LIMIT_MS - 6_000))
            assertFalse(isAdmitted(stream, LIMIT_MS - 5_999))
        }

        /** Guards against an expectation from a few answers that happened to be short. */
        @Test
        fun `of a route with few answers need all the time that they may take`() {
            repeat(ENOUGH - 1) { admission.record(stream, 10) }
            admission.begin(STOP_MS, STOP_MS + LIMIT_MS)
            assertFalse(isAdmitted(stream, 0))
            assertTrue(isAdmitted(stream, 0, deadlineMs = LIMIT_MS))
        }

        /** Guards against a request that is taken and cut when its caller would reach another instance for certain. */
        @Test
        fun `need all the time that they may take once the balancer has noticed`() {
            known(stream, longestMs = 10)
            admission.begin(STOP_MS, STOP_MS + LIMIT_MS)
            assertTrue(isAdmitted(stream, NOTICE_MS - 1))
            assertFalse(isAdmitted(stream, NOTICE_MS))
            assertTrue(isAdmitted(stream, NOTICE_MS, deadlineMs = LIMIT_MS - NOTICE_MS))
        }

        /** Guards against a request that runs without an answer and cannot be sent again. */
        @Test
        fun `that may run only once always need all the time that they may take`() {
            known(order, longestMs = 10)
            admission.begin(STOP_MS, STOP_MS + LIMIT_MS)
            assertFalse(isAdmitted(order, 0))
            assertTrue(isAdmitted(order, 0, deadlineMs = LIMIT_MS))
        }

        /** Guards against an expectation that outlives the answers that it came from. */
        @Test
        fun `are judged by recent answers only, of a route that still exists`() {
            known(stream, longestMs = 10_000)
            repeat(MANY) { admission.record(stream, 20) }
            admission.begin(STOP_MS, STOP_MS + LIMIT_MS)
            assertTrue(isAdmitted(stream, 0))
            admission.retain(setOf("order"))
            assertEquals(StopBasis.UNKNOWN, admission.decide(stream, null, STOP_MS)?.basis)
        }
    }

    private companion object {
        const val TIMEOUT_MS = 15_000L
        const val STOP_MS = 100_000L
        const val LIMIT_MS = 7_700L
        const val NOTICE_MS = 2_500L
        const val ENOUGH = 16
        const val MANY = 64
    }
}
