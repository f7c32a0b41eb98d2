package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.pace.PaceTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Four plain upstreams of which the first is disturbed for some seconds. Each test compares the responses in time with
 * those of the same load under the cold rate alone.
 */
class UpstreamPaceSpec {
    private class Run(
        isAdaptive: Boolean,
    ) {
        val pace = PaceTable(Random(1), isAdaptive) { 1 }
        private val placer = Placer(pace = pace)
        private val random = Random(SEED)
        private val ends = ArrayList<Pair<Long, PlacementResult>>()
        private var nowMs = 0L
        var inTime = 0
        val partsMs = ArrayList<Pair<Long, Double>>()

        init {
            placer.setPools(listOf(PoolProfile(SERVICE)))
            placer.setUpstreams(List(UPSTREAMS) { target(it) })
            pace.onChange = { if (it.upstream == FIRST) partsMs += nowMs to it.part }
        }

        /** Places a request every 5 ms; [respond] gives the time to the first byte, or null for a failure after 20 ms. */
        fun play(
            reportDelayMs: Long = 0,
            respond: (upstream: UpstreamId, from: Int, nowMs: Long, random: Random) -> Long?,
        ): Run {
            for (nowMs in 0L..LENGTH_MS step 5) {
                this.nowMs = nowMs
                val due = ends.filter { it.first <= nowMs }.sortedBy { it.first }
                ends -= due.toSet()
                due.forEach { placer.reportEnd(it.second, nowMs) }
                val from = (nowMs / 5 % DOMAINS).toInt()
                val request = request("r-$nowMs", from)
                val granted = placer.place(request, nowMs) as? Placement.Granted ?: continue
                val firstByteMs = respond(granted.upstream, from, nowMs, random)
                if (firstByteMs != null && firstByteMs <= TARGET_MS) inTime++
                val outcome = if (firstByteMs == null) PlacementOutcome.FAILED else PlacementOutcome.DONE
                val result = PlacementResult(request.request, granted.upstream, outcome, firstByteMs, domain(from))
                ends += nowMs + (firstByteMs ?: FAILS_AFTER_MS) + reportDelayMs to result
            }
            return this
        }

        private fun request(
            id: String,
            from: Int,
        ) = PlacementRequest(
            RequestId(id),
            PlacingFixture.INSTANCE,
            domain(from),
            SERVICE,
            targetMs = TARGET_MS,
            deadlineMs = 1_200,
        )

        private fun target(index: Int) =
            PlacementTarget(UpstreamId("plain-$index"), SERVICE, HostPort("10.0.0.$index", 80), domain(0), slots = 100)

        private fun domain(index: Int) = FailureDomain("domain-$index")
    }

    private fun isDisturbed(
        upstream: UpstreamId,
        nowMs: Long,
    ) = upstream == FIRST && nowMs in 3_000..7_000

    @Nested
    inner class AnUpstream {
        /** Guards against callers that wait for an upstream which is known to be slow. */
        @Test
        fun `ten times slower for seconds gets less until it has recovered, also if reports come late`() {
            for (reportDelayMs in listOf(0L, 400L)) {
                val respond = { upstream: UpstreamId, _: Int, nowMs: Long, _: Random ->
                    if (isDisturbed(upstream, nowMs)) 400L else 40L
                }
                val fixed = Run(isAdaptive = false).play(reportDelayMs, respond)
                val paced = Run(isAdaptive = true).play(reportDelayMs, respond)
                assertTrue(paced.inTime > fixed.inTime, "${paced.inTime} in time, ${fixed.inTime} under the fixed rate")
                assertTrue(paced.partsMs.any { it.second < 1 }, "${paced.partsMs}")
                assertEquals(1.0, paced.pace.parts[FIRST], "${paced.partsMs}")
            }
        }

        /** Guards against an upstream that fails fast and so looks free. */
        @Test
        fun `that fails half of its requests gets less`() {
            val respond = { upstream: UpstreamId, _: Int, nowMs: Long, random: Random ->
                if (isDisturbed(upstream, nowMs) && random.nextBoolean()) null else 40L
            }
            val fixed = Run(isAdaptive = false).play(respond = respond)
            val paced = Run(isAdaptive = true).play(respond = respond)
            assertTrue(paced.inTime > fixed.inTime, "${paced.inTime} in time, ${fixed.inTime} under the fixed rate")
        }

        /** Guards against the blame of an upstream for the network between it and one failure domain. */
        @Test
        fun `whose responses come late to one failure domain keeps its load`() {
            val respond = { upstream: UpstreamId, from: Int, nowMs: Long, _: Random ->
                if (isDisturbed(upstream, nowMs) && from == 1) 400L else 40L
            }
            val paced = Run(isAdaptive = true).play(respond = respond)
            assertEquals(emptyList(), paced.partsMs)
            assertEquals(Run(isAdaptive = false).play(respond = respond).inTime, paced.inTime)
        }

        /** Guards against a load that jumps back on an upstream that has just recovered. */
        @Test
        fun `gets at most twice as much with each step, half a second apart`() {
            val respond = { upstream: UpstreamId, _: Int, nowMs: Long, _: Random ->
                if (isDisturbed(upstream, nowMs)) 400L else 40L
            }
            val changes = Run(isAdaptive = true).play(respond = respond).partsMs
            assertTrue(changes.size > 3, "$changes")
            changes.zipWithNext {
                a,
                b,
                ->
                assertTrue(b.second <= a.second * 2 && b.first - a.first >= 500, "$changes")
            }
        }
    }

    @Nested
    inner class AllUpstreams {
        /** Guards against requests that are refused because all upstreams are slow. */
        @Test
        fun `that are slow get what they got under the fixed rate`() {
            val respond = { _: UpstreamId, _: Int, nowMs: Long, _: Random -> if (nowMs in 3_000..7_000) 400L else 40L }
            assertEquals(Run(false).play(respond = respond).inTime, Run(true).play(respond = respond).inTime)
        }
    }

    private companion object {
        val SERVICE = ServiceName("orders")
        val FIRST = UpstreamId("plain-0")
        const val UPSTREAMS = 4
        const val DOMAINS = 3
        const val SEED = 7
        const val LENGTH_MS = 20_000L
        const val TARGET_MS = 120L
        const val FAILS_AFTER_MS = 20L
    }
}
