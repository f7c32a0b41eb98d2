package samphirechute.testkit.engine

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.core.engine.GenerateBody
import samphirechute.core.time.VirtualTimer
import samphirechute.testkit.DeterministicAnswer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineModelSpec {
    private val timer = VirtualTimer()
    private val settings =
        EngineSettings(
            maxConcurrency = 8,
            memoryTokens = 20_000,
            prefillTokensPerSecond = 10_000.0,
            decodeStepMs = 10.0,
            prefillChunkTokens = 1_000,
            coldConcurrency = 2,
            warmUpMs = 1_000,
            cacheLossShare = 0.0,
        )

    private fun engine(settings: EngineSettings = this.settings) = EngineModel(settings, timer, Random(SEED))

    private fun body(
        id: String,
        prompt: Long = 1_000,
        tokens: Long = 5,
        attempt: Int = 1,
        resumeOffset: Long = 0,
        priority: Int = 0,
        lenders: List<String> = emptyList(),
        deadlineMs: Long = 60_000,
    ) = GenerateBody(
        RequestId(id),
        attempt,
        "m",
        id.take(1).repeat((prompt * 4).toInt()),
        prompt,
        tokens,
        resumeOffset,
        priority,
        deadlineMs,
        lenders,
    )

    private inner class Recorder : JobListener {
        val tokens = mutableListOf<Pair<Long, String>>()
        val times = mutableListOf<Long>()
        var cached = -1L
        var endedMs: Long? = null
        var isStopped = false

        override fun onToken(
            offset: Long,
            text: String,
            cachedTokens: Long,
        ) {
            tokens += offset to text
            times += timer.nowMs()
            cached = cachedTokens
        }

        override fun onEnd(totalTokens: Long) {
            endedMs = timer.nowMs()
        }

        override fun onStopped() {
            isStopped = true
        }
    }

    private fun EngineModel.run(body: GenerateBody): Recorder = Recorder().also { assertEquals(null, submit(body, it)) }

    @Nested
    inner class Batching {
        /** Guards against a model in which prompts are free, or in which a long prefill does not slow the others. */
        @Test
        fun `a long prefill is done in chunks and stretches the steps of running requests`() {
            val engine = engine()
            val short = engine.run(body("short", prompt = 1_000, tokens = 10))
            timer.advanceTo(120)
            engine.run(body("long", prompt = 3_000))
            timer.advanceTo(2_000)
            assertEquals(listOf(100L, 110, 120, 130, 240, 350, 460, 470, 480, 490), short.times)
        }

        /** Guards against background prompts that go first because they came first. */
        @Test
        fun `the request with the lower priority number is prefilled first`() {
            val engine = engine()
            val first = engine.run(body("running"))
            val background = engine.run(body("background", priority = 2))
            val urgent = engine.run(body("urgent", priority = 0))
            timer.advanceTo(5_000)
            assertEquals(
                listOf(first, urgent, background),
                listOf(background, first, urgent).sortedBy { it.times.first() },
            )
        }
    }

    @Nested
    inner class Answers {
        /** Guards against resumed streams that could not be checked, and against attempts that run side by side. */
        @Test
        fun `a resumed attempt replaces the earlier one and continues the same answer`() {
            val engine = engine()
            val first = engine.run(body("r", tokens = 8))
            timer.advanceTo(130)
            val second = engine.run(body("r", tokens = 8, attempt = 2, resumeOffset = 4))
            timer.advanceTo(5_000)
            assertTrue(first.isStopped)
            val expected = (0L until 8).map { it to DeterministicAnswer.token(RequestId("r"), it) }
            assertEquals(expected, first.tokens.take(4) + second.tokens)
            assertEquals(
                "old_attempt",
                EngineModel(settings, timer, Random(SEED)).let { other ->
                    other.run(body("r", attempt = 3))
                    other.submit(body("r", attempt = 2), Recorder())
                },
            )
        }

        /** Guards against work and memory that outlive their caller. */
        @Test
        fun `a cancelled request, and one past its deadline, stops and frees its memory`() {
            val engine = engine()
            val cancelled = engine.run(body("a", tokens = 1_000))
            val late = engine.run(body("b", tokens = 1_000, deadlineMs = 500))
            timer.advanceTo(300)
            engine.cancel(RequestId("a"), attempt = 1)
            timer.advanceTo(501)
            assertTrue(cancelled.isStopped && late.isStopped)
            assertEquals(0 to 0L, engine.runningRequests to engine.usedMemoryTokens)
        }
    }

    @Nested
    inner class Memory {
        /** Guards against an engine with memory without end. */
        @Test
        fun `requests wait until their memory is free, and one that never fits is refused`() {
            val engine = engine()
            val first = engine.run(body("a", prompt = 15_000))
            val second = engine.run(body("b", prompt = 6_000))
            timer.advanceTo(20_000)
            assertTrue(second.times.first() >= checkNotNull(first.endedMs) + 600)
            assertEquals("too_large", engine.submit(body("c", prompt = 30_000), Recorder()))
            assertEquals(null, engine.submit(body("c", prompt = 30_000, lenders = listOf("e2")), Recorder()))
        }

        /** Guards against lent or exported blocks that nothing frees. */
        @Test
        fun `exported and lent blocks are held until they are released or the request is cancelled`() {
            val engine = engine()
            engine.run(body("a", prompt = 1_000))
            assertTrue(engine.exportKv(RequestId("a"), 1_000))
            assertTrue(engine.importKv(RequestId("b"), 5_000))
            assertEquals(false, engine.importKv(RequestId("c"), 19_000))
            timer.advanceTo(5_000)
            assertEquals(6_000, engine.usedMemoryTokens)
            engine.releaseKv(RequestId("a"))
            engine.cancel(RequestId("b"), attempt = null)
            assertEquals(0, engine.usedMemoryTokens)
        }
    }

    @Nested
    inner class Cold {
        /** Guards against a stand-in that forgives what a real engine does not. */
        @Test
        fun `a cold engine is slower and falls over when given more than it can carry`() {
            val engine = engine(settings.copy(startsCold = true))
            val first = engine.run(body("a"))
            timer.advanceTo(400)
            assertEquals(300, first.times.first())
            engine.run(body("b"))
            engine.run(body("c"))
            engine.run(body("d"))
            assertEquals(Triple(1, true, 0L), Triple(engine.overloads, engine.isDown, engine.usedMemoryTokens))
            timer.advanceBy(3_000)
            assertEquals(false to 2L, engine.isDown to engine.generation)
        }

        /** Guards against an engine that stays cold. */
        @Test
        fun `an engine is warm after its time of work`() {
            val engine = engine(settings.copy(startsCold = true))
            engine.run(body("a", tokens = 100))
            timer.advanceTo(2_000)
            assertEquals(false, engine.isCold)
            engine.becomeCold()
            assertEquals(true, engine.isCold)
        }
    }

    @Nested
    inner class Reports {
        /** Guards against reports that are better than those of real engines. */
        @Test
        fun `the load lags behind`() {
            val engine = engine()
            engine.run(body("a", tokens = 1_000))
            assertEquals(0, engine.reportedLoad().runningRequests)
            timer.advanceTo(600)
            assertEquals(1 to mapOf("a" to 2_000L), engine.reportedLoad().let { it.runningRequests to it.held })
        }

        /** Guards against a cache that saves nothing, and against events that come at once or without gaps. */
        @Test
        fun `a cached prefix saves its prefill, and its event comes late or is lost with a gap`() {
            val prompt = 1_100L
            for (isLost in listOf(false, true)) {
                val engine = engine(settings.copy(cacheLossShare = if (isLost) 1.0 else 0.0))
                engine.run(body("p1", prompt))
                timer.advanceBy(500)
                assertEquals(0, engine.takeCacheEvents().nextSequence)
                assertEquals(1_024, engine.run(body("p2", prompt)).also { timer.advanceBy(1_000) }.cached)
                val report = engine.takeCacheEvents()
                assertEquals(if (isLost) 1L to 0 else 0L to 1, report.firstSequence to report.events.size)
                assertEquals(1, report.nextSequence)
            }
        }
    }

    @Nested
    inner class Orders {
        /** Guards against tests of fencing that would pass with any engine. */
        @Test
        fun `an old fencing number is refused only by an engine that checks it`() {
            for ((checks, expected) in listOf(true to listOf("2"), false to listOf("2", "1"))) {
                val desk = OrderDesk(checks)
                assertTrue(desk.accept("2", fencing = 2, order = "{}") && desk.accept("2", fencing = 2, order = "{}"))
                assertEquals(!checks, desk.accept("1", fencing = 1, order = "{}"))
                assertEquals(expected, desk.executed.map { it.operationId })
            }
        }
    }

    private companion object {
        const val SEED = 7
    }
}
