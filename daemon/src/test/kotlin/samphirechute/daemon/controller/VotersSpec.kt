package samphirechute.daemon.controller

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.settings.DaemonSettings
import samphirechute.core.settings.PeerSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class VotersSpec {
    private val peers =
        (0 until 20).map { number ->
            val domain = FailureDomain(if (number % 2 == 0) "a" else "b")
            PeerSettings(
                InstanceId("i%02d".format(number)),
                domain,
                HostPort("127.0.0.1", 7_000 + number),
                number == 18,
            )
        }

    private fun voters(self: PeerSettings) =
        votersOf(
            DaemonSettings(self.instance, self.failureDomain, self.address, peers.shuffled(SHUFFLE)),
        ).map { it.instance }

    @Nested
    inner class Choice {
        /** Guards against two instances of a failure domain with different voters, which could elect two coordinators. */
        @Test
        fun `all instances of a failure domain come to the same voters, a bounded number`() {
            val home = peers.filter { it.failureDomain == FailureDomain("a") }
            val choices = home.map(::voters).toSet()
            assertEquals(1, choices.size)
            val expected = listOf("i18", "i00", "i02", "i04", "i06", "i08", "i10").map(::InstanceId)
            assertEquals(expected, choices.single())
            assertEquals(MAX_VOTERS, choices.single().size)
        }
    }

    private companion object {
        val SHUFFLE = Random(1)
    }
}
