package samphirechute.bench.stops

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Each case guards the bench against passing a run that breaks a promise, or failing one that keeps it. */
class ChecksSpec {
    private val path = "/stream/9000/1"
    private val stop = Stop("entry-0", 10_000, 17_800, 0)
    private val cutLate = call(sentMs = 12_000, endMs = 17_700, end = CallEnd.CLOSED, status = 200)
    private val working =
        Run("c1", "flow-0.c1.1", 12_000, hasRun = true, status = 200, endMs = 17_700, end = RunEnd.SENDER_LEFT)

    private fun call(
        path: String = this.path,
        sentMs: Long = 1_000,
        endMs: Long = 2_000,
        end: CallEnd = CallEnd.WHOLE,
        status: Int = 0,
        signature: String? = null,
        body: String = "",
    ) = Call(
        "c1",
        path,
        "entry-0",
        sentMs,
        sentMs,
        15_000,
        endMs.takeIf {
            status > 0
        },
        endMs,
        end,
        status,
        "c1",
        signature,
        body,
    )

    private fun cut(
        call: Call,
        runs: List<Run> = listOf(working),
        disruptions: List<Disruption> = emptyList(),
    ) = Checks(Records(listOf(call), runs, listOf(stop), disruptions)).cut(call)

    private fun broken(
        call: Call,
        vararg runs: Run,
    ) = Checks(Records(listOf(call), runs.toList(), emptyList(), emptyList())).all().map { it.promise }

    @Nested
    inner class Cutting {
        @Test
        fun `a whole answer is not cut`() = assertNull(cut(cutLate.copy(end = CallEnd.WHOLE)))

        @Test
        fun `a request sent early in a stop may be cut while its upstream is late at work`() {
            assertEquals(Cut.LATE_IN_STOP, cut(cutLate))
            assertEquals(Cut.BROKEN, cut(cutLate, listOf(working.copy(endMs = 16_000))))
        }

        @Test
        fun `a request sent later than 3 s after SIGTERM may not be cut`() =
            assertEquals(Cut.BROKEN, cut(cutLate.copy(sentMs = 13_001)))

        @Test
        fun `a request that no upstream got counts as read after 200 ms around a stop only`() {
            val crossing = cutLate.copy(endMs = 12_200)
            assertEquals(Cut.NOT_READ, cut(crossing, emptyList()))
            assertEquals(Cut.BROKEN, cut(crossing.copy(endMs = 12_201), emptyList()))
            assertEquals(
                Cut.NOT_READ,
                cut(crossing.copy(sentMs = 2_000, lastByteMs = 2_000, endMs = 9_000), emptyList()),
            )
        }

        @Test
        fun `a request that an upstream got is lost at any time`() =
            assertEquals(Cut.BROKEN, cut(cutLate.copy(sentMs = 2_000, lastByteMs = 2_000, endMs = 2_001)))

        @Test
        fun `what the upstream, the deadline or a disruption ended is excused`() {
            val late = cutLate.copy(sentMs = 13_100)
            assertEquals(Cut.UPSTREAM_BROKE_OFF, cut(late, listOf(working.copy(end = RunEnd.BROKE_OFF))))
            assertEquals(Cut.DEADLINE, cut(late.copy(deadlineMs = 4_602)))
            assertEquals(Cut.BROKEN, cut(late.copy(deadlineMs = 4_603)))
            assertEquals(Cut.DISRUPTED, cut(late, disruptions = listOf(Disruption("entry-0", 14_000, 15_000))))
            assertEquals(Cut.BROKEN, cut(late, disruptions = listOf(Disruption("entry-1", 14_000, 15_000))))
            assertEquals(Cut.BROKEN, cut(late, disruptions = listOf(Disruption("entry-0", 11_000, 13_099))))
        }
    }

    @Nested
    inner class Answers {
        private val check = "/check/10/1"
        private val run =
            Run(
                "c1",
                "flow-0.c1.1",
                1_000,
                hasRun = true,
                status = 200,
                body = "body",
                endMs = 1_900,
                end = RunEnd.DONE,
            )
        private val served = call(check, status = 200, signature = "flow-0.c1.1", body = "body")

        @Test
        fun `the whole body of a run is kept`() = assertEquals(emptyList(), broken(served, run))

        @Test
        fun `another body, status, signature or request is mixed`() {
            val mixed = listOf("mixed")
            assertEquals(mixed, broken(served.copy(body = "bod"), run))
            assertEquals(mixed, broken(served, run.copy(status = 500)))
            assertEquals(mixed, broken(served.copy(status = 500), run))
            assertEquals(mixed, broken(served.copy(signature = null), run))
            assertEquals(mixed, broken(served.copy(signature = "flow-0.c1.2"), run))
            assertEquals(mixed, broken(served.copy(answered = "c2"), run))
        }

        @Test
        fun `a stream has each event once and in order`() {
            val whole = Work.of(path).wholeStream("c1")
            val stream = call(status = 200, signature = "flow-0.c1.1", body = whole)
            val streamed = run.copy(body = null)
            assertEquals(emptyList(), broken(stream, streamed))
            assertEquals(listOf("order"), broken(stream.copy(body = whole.dropLast(1)), streamed))
            assertEquals(listOf("order"), broken(stream.copy(body = whole + Work.of(path).event("c1", 1)), streamed))
            assertEquals(listOf("order"), broken(stream.copy(body = whole.replace("1 of c1", "1 of c2")), streamed))
        }
    }

    @Nested
    inner class Running {
        private val order = call("/order/10/1", status = 503)
        private val run = Run("c1", "shop-0.c1.1", 1_000, hasRun = true, status = 500)

        @Test
        fun `an unsafe request that ran is not refused`() {
            assertEquals(listOf("refused_after_run"), broken(order, run))
            assertEquals(emptyList(), broken(order, run.copy(hasRun = false)))
            assertEquals(emptyList(), broken(order.copy(status = 502), run))
        }

        @Test
        fun `an unsafe request runs once`() =
            assertEquals(
                listOf("ran_twice"),
                broken(order.copy(status = 502), run, run.copy(signature = "shop-1.c1.2")),
            )

        @Test
        fun `a request without any answer past its deadline is held`() =
            assertEquals(listOf("held"), broken(order.copy(end = CallEnd.HELD, headMs = null)))
    }
}
