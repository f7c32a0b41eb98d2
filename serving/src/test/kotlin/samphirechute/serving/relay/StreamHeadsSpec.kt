package samphirechute.serving.relay

import org.junit.jupiter.api.Nested
import samphirechute.core.ServiceName
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamHeadsSpec {
    private val service = ServiceName("drafts")
    private val heads = StreamHeads()

    private fun record(vararg leadsMs: Long) = leadsMs.forEach { heads.record(service, it) }

    @Nested
    inner class Heads {
        /** Guards against an absent head that is taken to show that an upstream had not begun. */
        @Test
        fun `that come with the first event say nothing, nor does anything before the first answer`() {
            assertFalse(heads.areEarly(service))
            record(0, 1, 0)
            assertFalse(heads.areEarly(service))
        }

        @Test
        fun `that come before it are known by one answer, also when others were read late`() {
            record(0, 40, 0)
            assertTrue(heads.areEarly(service))
            assertFalse(heads.areEarly(ServiceName("other")))
        }

        @Test
        fun `are judged by the last answers`() {
            record(40)
            repeat(16) { record(0) }
            assertFalse(heads.areEarly(service))
        }
    }
}
