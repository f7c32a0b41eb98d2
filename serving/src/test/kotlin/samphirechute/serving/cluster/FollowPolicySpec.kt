package samphirechute.serving.cluster

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FollowPolicySpec {
    private val known = ('a'..'h').map { InstanceId("$it") }

    private fun names(chosen: Set<InstanceId>) = chosen.joinToString("") { it.value }

    @Nested
    inner class AnEntryInstance {
        private val choice = FollowPolicy(isEntry = true)

        @Test
        fun `follows three, and the leader in addition`() {
            assertEquals("abc", names(choice.choose(known, emptySet(), leader = null)))
            assertEquals("abc", names(choice.choose(known, emptySet(), InstanceId("b"))))
            assertEquals("abcg", names(choice.choose(known, emptySet(), InstanceId("g"))))
        }

        /** Guards the losses that deployments must survive: two members at once, or a failure domain. */
        @Test
        fun `follows others in place of silent ones, and keeps polling those`() {
            val silent = setOf(InstanceId("a"), InstanceId("c"))
            val chosen = choice.choose(known, silent, InstanceId("a"))
            assertTrue(chosen.containsAll(silent))
            assertEquals("bde", names(chosen - silent))
        }

        @Test
        fun `follows all when few are known`() {
            assertEquals("ab", names(choice.choose(known.take(2), setOf(InstanceId("b")), leader = null)))
        }
    }

    @Nested
    inner class AControlInstance {
        @Test
        fun `follows all others, since upstreams announce themselves to any of them`() {
            assertEquals("abcdefgh", names(FollowPolicy(isEntry = false).choose(known, emptySet(), InstanceId("a"))))
        }
    }
}
