package samphirechute.routing.placing

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacerSpec {
    @Nested
    inner class ShortPrompts {
        /** With a decoding request on each engine, every prefill of a long prompt would delay some stream. */
        @Test
        fun `are packed, so that other engines stay free of decoding requests`() {
            val fixture = PlacingFixture(engines = 6)
            val used =
                (0 until 8)
                    .map {
                        fixture.nowMs += 100
                        fixture.granted(fixture.short()).upstream
                    }.toSet()
            assertEquals(1, used.size)
        }

        /** A stream within one failure domain survives a network partition between domains. */
        @Test
        fun `stay in the failure domain of their caller while it has room`() {
            val fixture = PlacingFixture(engines = 6)
            val other = FailureDomain("domain-1")
            repeat(3) { fixture.granted(fixture.short()) }
            val used =
                (0 until 8)
                    .map {
                        fixture.nowMs += 100
                        fixture.granted(fixture.short().copy(failureDomain = other)).upstream
                    }.toSet()
            assertEquals(setOf(UpstreamId("engine-1")), used)
        }

        /** Guards against long gaps between events: the delays of two prompts that are prefilled in one pass add up. */
        @Test
        fun `that arrive together go to several engines`() {
            val fixture = PlacingFixture(engines = 6)
            val used = (0 until 12).map { fixture.granted(fixture.short()).upstream }.toSet()
            assertTrue(used.size >= 2, "used $used")
        }

        @Test
        fun `go to one upstream each, and none gets more than its slots`() {
            val fixture = PlacingFixture(engines = 2)
            val counts = HashMap<UpstreamId, Int>()
            repeat(2 * PlacingFixture.SLOTS) {
                fixture.nowMs += 60
                val granted = fixture.granted(fixture.short())
                assertTrue(granted.helpers.isEmpty())
                counts.merge(granted.upstream, 1, Int::plus)
            }
            assertEquals(setOf(PlacingFixture.SLOTS), counts.values.toSet())
        }

        /**
         * Guards against all instances choosing the same engine of their failure domain while no coordinator answers.
         */
        @Test
        fun `are spread by placers that do not share their state`() {
            val fixture = PlacingFixture(engines = 18, spreadSeed = 7)
            val used =
                (0 until 6)
                    .map {
                        fixture.nowMs += 100
                        fixture.granted(fixture.short()).upstream
                    }.toSet()
            assertEquals(6, used.size)
        }
    }

    @Nested
    inner class LongPrompts {
        /** The prefill takes one engine 2.8 s, which uses up nearly all of the target of 3 s. */
        @Test
        fun `are split over as many engines as the target needs`() {
            val fixture = PlacingFixture(engines = 9)
            val granted = fixture.granted(fixture.long())
            assertTrue(granted.helpers.isNotEmpty())
            assertTrue(granted.firstByteMs <= 1_800, "predicted ${granted.firstByteMs} ms")
        }

        /** Guards against long gaps between the events of short requests that are already decoding. */
        @Test
        fun `are prefilled on engines without short requests while there are enough`() {
            val fixture = PlacingFixture(engines = 9)
            val shortOn =
                (0 until 6)
                    .map {
                        fixture.nowMs += 100
                        fixture.granted(fixture.short()).upstream
                    }.toSet()
            val long = fixture.granted(fixture.long())
            val longOn = long.helpers.map { it.upstream } + long.upstream
            assertTrue(shortOn.none { it in longOn }, "short on $shortOn, long on $longOn")
        }

        /** Guards against a gap of over a second in short streams on the engines that prefill a long prompt. */
        @Test
        fun `keep later short prompts away from the engines that prefill them`() {
            val fixture = PlacingFixture(engines = 9)
            val long = fixture.granted(fixture.long())
            val longOn = (long.helpers.map { it.upstream } + long.upstream).toSet()
            repeat(10) {
                fixture.nowMs += 20
                assertTrue(fixture.granted(fixture.short()).upstream !in longOn)
            }
        }

        @Test
        fun `that exceed the memory of one engine reserve the rest on helpers`() {
            val fixture = PlacingFixture(engines = 12)
            val request = fixture.long(promptTokens = 900_000)
            val granted = fixture.granted(request)
            val reserved = granted.helpers.sumOf { it.reservedTokens }
            assertTrue(reserved >= 450_000, "reserved $reserved")
            assertTrue(granted.helpers.all { it.reservedTokens <= 450_000 })
        }

        /** Guards against granting memory that is reserved for another prompt. */
        @Test
        fun `that no memory is left for wait or are refused`() {
            val fixture = PlacingFixture(engines = 3)
            assertIs<Placement.Granted>(fixture.place(fixture.long(promptTokens = 700_000)))
            // All prefill is done by now, so only the memory that the first prompt still uses can be missing.
            fixture.nowMs += 9_000
            val second = fixture.place(fixture.long(promptTokens = 700_000))
            assertTrue(second == null || second is Placement.Refused, "placed as $second")
        }

        /** Counterpart of the test above: the same prompt is placed once the memory is free. */
        @Test
        fun `are placed when the memory is free again`() {
            val fixture = PlacingFixture(engines = 3)
            val first = fixture.long(promptTokens = 700_000)
            val granted = fixture.granted(first)
            fixture.nowMs += 9_000
            fixture.end(first, granted.upstream)
            assertIs<Placement.Granted>(fixture.place(fixture.long(promptTokens = 700_000)))
        }

        @Test
        fun `that fit no set of engines are refused at once with a retry time`() {
            val fixture = PlacingFixture(engines = 3)
            val refused = assertIs<Placement.Refused>(fixture.place(fixture.long(promptTokens = 5_000_000)))
            assertEquals(RefusedReason.TOO_LARGE, refused.reason)
            assertTrue(refused.retryAfterMs > 0)
        }
    }

    @Nested
    inner class Waiting {
        @Test
        fun `a request without a free slot waits and gets the first one that becomes free`() {
            val fixture = PlacingFixture(engines = 1)
            val running = fill(fixture)
            val waiting = fixture.short()
            assertNull(fixture.place(waiting))
            val decisions = fixture.end(running.first(), UpstreamId("engine-0"))
            assertEquals(waiting.request, decisions.single().request.request)
            assertIs<Placement.Granted>(decisions.single().placement)
        }

        /** Guards against queueing a request until its caller has left. */
        @Test
        fun `a request that waited too long is refused before its caller leaves`() {
            val fixture = PlacingFixture(engines = 1)
            fill(fixture)
            assertNull(fixture.place(fixture.short()))
            fixture.nowMs += 1_500
            val decision = fixture.placer.tick(fixture.nowMs).single()
            assertEquals(RefusedReason.EXPIRED, assertIs<Placement.Refused>(decision.placement).reason)
        }

        /** Guards against queueing requests that can no longer be served in time. */
        @Test
        fun `a request that would wait longer than its caller does is refused at once`() {
            val fixture = PlacingFixture(engines = 1)
            fill(fixture)
            val refused = (0 until 50).mapNotNull { fixture.place(fixture.short()) }
            assertTrue(refused.isNotEmpty())
            assertTrue(refused.all { it is Placement.Refused && it.reason == RefusedReason.OVERLOADED })
        }

        @Test
        fun `a withdrawn request releases its slot`() {
            val fixture = PlacingFixture(engines = 1)
            val running = fill(fixture)
            val waiting = fixture.short()
            fixture.place(waiting)
            val decisions = fixture.placer.withdraw(running.first().request, fixture.nowMs)
            assertEquals(waiting.request, decisions.single().request.request)
        }

        private fun fill(fixture: PlacingFixture): List<PlacementRequest> =
            (0 until PlacingFixture.SLOTS).map {
                fixture.nowMs += 60
                fixture.short().also { request -> fixture.granted(request) }
            }
    }

    @Nested
    inner class Upstreams {
        @Test
        fun `that are closed get no requests`() {
            val fixture = PlacingFixture(engines = 3)
            fixture.change { it.copy(isOpen = it.id.value == "engine-2") }
            assertEquals(UpstreamId("engine-2"), fixture.granted(fixture.short()).upstream)
        }

        @Test
        fun `that are all closed make their service refuse at once`() {
            val fixture = PlacingFixture(engines = 2)
            fixture.change { it.copy(isOpen = false) }
            assertEquals(
                RefusedReason.NO_UPSTREAM,
                assertIs<Placement.Refused>(fixture.place(fixture.short())).reason,
            )
        }

        @Test
        fun `that have failed get no requests for a while`() {
            val fixture = PlacingFixture(engines = 2)
            val request = fixture.short()
            val first = fixture.granted(request).upstream
            fixture.end(request, first, PlacementOutcome.FAILED)
            assertNotEquals(first, fixture.granted(fixture.short()).upstream)
        }

        @Test
        fun `that failed a request are excluded from its next attempt`() {
            val fixture = PlacingFixture(engines = 2)
            val first = fixture.granted(fixture.short()).upstream
            assertNotEquals(first, fixture.granted(fixture.short(excluded = setOf(first))).upstream)
        }

        @Test
        fun `that are silent are used only when no other is left`() {
            val fixture = PlacingFixture(engines = 2)
            fixture.change { it.copy(isSilent = it.id.value == "engine-0") }
            assertEquals(UpstreamId("engine-1"), fixture.granted(fixture.short()).upstream)
            fixture.change { it.copy(isOpen = it.id.value == "engine-0") }
            assertEquals(UpstreamId("engine-0"), fixture.granted(fixture.short()).upstream)
        }

        /** Guards against a connect timeout for each engine of a failure domain that cannot be reached. */
        @Test
        fun `of a failure domain that cannot be reached get no requests once two have failed`() {
            val fixture = PlacingFixture(engines = 9)
            val domain = FailureDomain("domain-0")
            listOf("engine-1", "engine-4").forEach { fixture.unreachable(UpstreamId(it)) }
            fixture.nowMs += 600
            val used =
                (0 until 40).mapNotNull {
                    fixture.nowMs += 5
                    (fixture.place(fixture.short()) as? Placement.Granted)?.upstream?.value
                }
            assertTrue(used.none { it in setOf("engine-1", "engine-4", "engine-7") }, "used $used from $domain")
        }

        /** Guards against a link that stays unused after it works again. */
        @Test
        fun `of a failure domain that cannot be reached are retried after a while`() {
            val fixture = PlacingFixture(engines = 2)
            fixture.unreachable(UpstreamId("engine-1"))
            fixture.unreachable(UpstreamId("engine-1"))
            fixture.nowMs += 6_000
            assertIs<Placement.Granted>(fixture.place(fixture.short(excluded = setOf(UpstreamId("engine-0")))))
        }

        /** Guards against overloading an upstream that becomes cold, which may happen at any time. */
        @Test
        fun `get no more requests within a second than a cold one can serve`() {
            val fixture = PlacingFixture(engines = 1)
            var granted = 0
            repeat(100) {
                fixture.nowMs += 5
                val request = fixture.short()
                if (fixture.place(request) is Placement.Granted) {
                    granted++
                    fixture.end(request, UpstreamId("engine-0"), PlacementOutcome.CANCELLED)
                }
            }
            assertTrue(granted <= PlacingFixture.COLD_PER_S, "granted $granted")
        }

        /** Guards against a lost slot when the next attempt is placed before the end of the last one is reported. */
        @Test
        fun `have the slot of an earlier attempt free once the next one is placed`() {
            val fixture = PlacingFixture(engines = 2)
            val request = fixture.short()
            val first = fixture.granted(request).upstream
            val second = fixture.granted(request.copy(excluded = setOf(first))).upstream
            fixture.end(request, first, PlacementOutcome.FAILED)
            assertEquals(0 to 1, fixture.placer.runningOn(first) to fixture.placer.runningOn(second))
        }

        /** Guards against pausing a busy engine for seconds because its streams stalled together. */
        @Test
        fun `on which many requests stall at once are used again within half a second`() {
            val fixture = PlacingFixture(engines = 2)
            val requests = (0 until 8).map { fixture.short().also { request -> fixture.granted(request) } }
            requests.forEach { fixture.end(it, UpstreamId("engine-0"), PlacementOutcome.STALLED) }
            fixture.change { it.copy(isOpen = true, isSilent = it.id.value == "engine-1") }
            fixture.nowMs += 500
            assertEquals(UpstreamId("engine-0"), fixture.granted(fixture.short()).upstream)
        }

        /** Guards against a slot that stays occupied because the end of a request is never reported. */
        @Test
        fun `are free of a request after its deadline if its end is never reported`() {
            val fixture = PlacingFixture(engines = 1)
            fixture.granted(fixture.short(deadlineMs = 1_000))
            fixture.nowMs += 3_000
            fixture.placer.tick(fixture.nowMs)
            assertEquals(0, fixture.placer.runningOn(UpstreamId("engine-0")))
        }
    }
}
