package samphirechute.state.sync

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConfigurationHistorySpec {
    @Nested
    inner class Updates {
        /**
         * Guards against an instance that keeps a service which another saw come and go, or change and change back,
         * in one step: updates from any instance must lead any other to the published set.
         */
        @Test
        fun `an update from any instance leads any older one to the published set`() {
            for (seed in 1L..200L) {
                val random = Random(seed)
                val store = SimStore(random)
                val instances = List(4) { ConfigurationHistory() }
                repeat(60) {
                    if (random.nextInt(3) == 0) store.publish()
                    val to = instances.random(random)
                    if (random.nextInt(4) == 0) to.apply(store.configuration)
                    instances.random(random).updateFrom(to.revision)?.let { assertTrue(to.apply(it), "seed $seed") }
                    assertEquals(store.history[to.revision], to.current.services.toSet(), "seed $seed")
                }
            }
        }

        /** Guards against a revert, and against a change applied to a set that it was not made for. */
        @Test
        fun `older revisions and updates from a later base change nothing`() {
            val store = SimStore(Random(1))
            val history = ConfigurationHistory()
            repeat(3) {
                store.publish()
                history.apply(store.configuration)
            }
            assertFalse(history.apply(Configuration(3)))
            assertFalse(history.apply(ConfigurationUpdate(base = 0, revision = 2)))
            assertFalse(history.apply(ConfigurationUpdate(base = 4, revision = 5)))
            assertEquals(store.configuration.services.toSet(), history.current.services.toSet())
        }

        /** Guards against a whole set for each change, which would not fit the traffic bound. */
        @Test
        fun `an update holds only what changed`() {
            val store = SimStore(Random(1))
            val history = ConfigurationHistory()
            repeat(20) {
                store.publish()
                history.apply(store.configuration)
            }
            val update = history.updateFrom(19)!!
            assertTrue(update.changed.size + update.removed.size in 1..3)
        }
    }
}
