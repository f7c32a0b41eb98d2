package samphirechute.daemon.upstream

import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Engines that answer a call for memory twice, the second time late; the answers that grant it name no request. */
class GangMemoryCopySpec {
    /** Guards against a prompt that runs without the memory it needs, since the copy of a grant hid the refusal. */
    @Test
    fun `memory that an engine refuses does not count as borrowed through the copy of an earlier answer`() {
        val turns = AtomicInteger()
        val fixture =
            ProtocolFixture {
                val status = if (turns.getAndIncrement() % 2 == 0) 200 else 409
                RepeatingUpstream.wire(status, "{}")
            }
        // A refusal is followed by a release, which takes a turn of its own.
        val borrowed = fixture.use { List(2) { number -> it.borrow("r-$number") } }
        assertEquals(listOf(true, false), borrowed)
    }
}
