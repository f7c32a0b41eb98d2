package samphirechute.routing.placing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Streams that have begun and need another upstream, while all upstreams are taken. */
class BegunStreamSpec {
    private val fixture = PlacingFixture(engines = 1).apply { change { it.copy(slots = 1) } }
    private val running = fixture.short()

    init {
        // The expected wait follows from the rate of ends.
        repeat(10) {
            val ended = fixture.short()
            fixture.end(ended, fixture.granted(ended).upstream)
            fixture.nowMs += 100
        }
    }

    private val upstream = fixture.granted(running).upstream

    private fun begun() = fixture.short().copy(hasBegun = true, priority = PlacementRequest.DEFAULT_PRIORITY + 1)

    /** Returns the requests in the order in which they are granted. */
    private fun grantedInOrder(): List<PlacementRequest> {
        val order = ArrayList<PlacementRequest>()
        var last = running
        while (true) {
            fixture.nowMs += 100
            val decided = fixture.end(last, upstream).filter { it.placement is Placement.Granted }
            last = decided.singleOrNull()?.request ?: return order
            order += last
        }
    }

    /** Guards against a stream whose caller gives up while requests that have not begun are placed before it. */
    @Test
    fun `go before waiting requests that are more urgent and came earlier`() {
        val early = fixture.short()
        val first = begun()
        val second = begun()
        listOf(early, first, second).forEach { assertNull(fixture.place(it)) }
        assertEquals(listOf(first, second, early), grantedInOrder())
    }

    /** Guards against the refusal of a stream because of a queue of requests that it goes before. */
    @Test
    fun `are not refused for the length of a queue that they go before`() {
        val others = List(8) { fixture.short() }
        others.forEach { fixture.place(it) }
        assertNull(fixture.place(begun()))
    }
}
