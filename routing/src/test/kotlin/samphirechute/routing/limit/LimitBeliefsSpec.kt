package samphirechute.routing.limit

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class LimitBeliefsSpec {
    private val beliefs = LimitBeliefs()
    private var nextRequest = 1

    private fun answer(
        requestsPerS: Double?,
        sentMs: Long,
        answeredMs: Long,
    ) = LimitEvidence(
        UPSTREAM,
        requestsPerS,
        sentMs,
        answeredMs,
        RequestId("r-${nextRequest++}"),
        InstanceId("127.0.0.1:1"),
    )

    private fun believedAfter(vararg answers: LimitEvidence): Double? {
        answers.forEach(beliefs::record)
        return beliefs[UPSTREAM]?.requestsPerS
    }

    @Nested
    inner class LaterAnswers {
        @Test
        fun `an answer to a request that was sent later changes the limit`() {
            assertEquals(5.0, believedAfter(answer(1.0, 0, 10), answer(5.0, 10, 20)))
        }

        @Test
        fun `the limit ends with an answer that no longer names it`() {
            assertNull(believedAfter(answer(1.0, 0, 10), answer(null, 10, 20)))
        }
    }

    @Nested
    inner class OvertakingAnswers {
        /** Guards against a stream that began before the limit was named and ends the limit when its head arrives. */
        @Test
        fun `an answer to a request that was sent before the limit was named does not end it`() {
            assertEquals(1.0, believedAfter(answer(1.0, 5, 10), answer(null, 0, 20)))
        }

        @Test
        fun `of two limits in unknown order the lower one holds`() {
            assertEquals(1.0, believedAfter(answer(1.0, 0, 10), answer(5.0, 0, 20)))
            assertEquals(0.5, believedAfter(answer(0.5, 0, 30)))
        }

        /** Guards against a late answer that brings back a limit that has ended. */
        @Test
        fun `an answer from before the end of the limit does not name it again`() {
            assertNull(believedAfter(answer(1.0, 0, 10), answer(null, 30, 40), answer(1.0, 5, 20)))
        }

        @Test
        fun `the same answer that comes back from another instance changes nothing`() {
            val named = answer(1.0, 0, 10)
            believedAfter(named)
            assertNull(beliefs.record(named.copy(sentMs = 25, answeredMs = 35)))
            assertEquals(10, beliefs[UPSTREAM]?.answeredMs)
        }
    }

    @Nested
    inner class Versions {
        @Test
        fun `only named, changed and ended limits are passed on`() {
            beliefs.record(answer(1.0, 0, 10))
            val version = beliefs.version
            beliefs.record(answer(1.0, 20, 30))
            assertEquals(emptyList(), beliefs.changedAfter(version))
            beliefs.record(answer(null, 40, 50))
            assertEquals(listOf(null), beliefs.changedAfter(version).map { it.requestsPerS })
        }

        @Test
        fun `an upstream that never named a limit is not remembered`() {
            assertNull(beliefs.record(answer(null, 0, 10)))
            assertEquals(0, beliefs.version)
        }
    }

    private companion object {
        val UPSTREAM = UpstreamId("engine-1")
    }
}
