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
         * Guards against an instance that keeps a removed or reverted service. That can happen when the sender of the
         * update skipped the revision in between, so that it saw no change. Updates from any instance must bring any
         * other one to the published configuration.
         */
        @Test
        fun `an update from any instance brings any older one to the published configuration`() {
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

        /** Guards against going back to an older revision, and against an update applied to the wrong base. */
        @Test
        fun `older revisions and updates with a later base are ignored`() {
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

        /** Guards against sending the whole configuration for each change, which would exceed the traffic limit. */
        @Test
        fun `an update contains only the changes`() {
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
