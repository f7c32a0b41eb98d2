package samphirechute.serving.relay

import org.junit.jupiter.api.Nested
import samphirechute.net.ResponseHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertSame
import kotlin.test.assertTrue

/** Guards against a promise that a request has not run although it may have, and against a promise that is lost. */
class FinalAnswerSpec {
    private val refusals =
        listOf(
            Refusal.NoRoute,
            Refusal.UnknownKey,
            Refusal.MissingId,
            Refusal.NotReady,
            Refusal.Unconfirmed,
            Refusal.Stopping,
            Refusal.Busy("overloaded", 500),
            Refusal.Lost("closed"),
            Refusal.TimedOut,
            Refusal.TimedOutUnsent,
        )

    private fun ofUpstream(status: Int) =
        FinalAnswer.OfUpstream(AttemptResult.Answered(ResponseHead(status, emptyList()), ByteArray(0)))

    private val statuses = 200..599

    @Nested
    inner class RequestsThatMayHaveRun {
        @Test
        fun `never get a promise of the system`() {
            for (refusal in refusals) {
                for (isRepeatable in listOf(true, false)) {
                    val sent = FinalAnswer.Own(refusal).truthful(mayHaveRun = true, isRepeatable)
                    assertFalse(sent.promisesNotRun, "${refusal.code}, repeatable: $isRepeatable")
                }
            }
        }

        @Test
        fun `get no promise of an upstream where a second run would do harm, and any other answer unchanged`() {
            for (status in statuses) {
                val answer = ofUpstream(status)
                val sent = answer.truthful(mayHaveRun = true, isRepeatable = false)
                if (status in listOf(408, 421, 429, 503)) assertEquals(502, sent.status) else assertSame(answer, sent)
                assertSame(answer, answer.truthful(mayHaveRun = true, isRepeatable = true))
            }
        }
    }

    @Nested
    inner class RequestsThatHaveNotRun {
        @Test
        fun `get the refusal as it is, with the time to come back`() {
            for (refusal in refusals) {
                val answer = FinalAnswer.Own(refusal)
                assertSame(answer, answer.truthful(mayHaveRun = false, isRepeatable = false))
            }
            assertTrue(refusals.filter { FinalAnswer.Own(it).promisesNotRun }.all { it.retryAfterMs != null })
        }
    }
}
