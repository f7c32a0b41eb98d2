package samphirechute.state.raft

import org.junit.jupiter.api.Nested
import samphirechute.state.command.Command
import samphirechute.state.sim.SimCluster
import samphirechute.state.sim.SimCluster.SimNode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfirmedReadSpec {
    private val checks = mutableMapOf<Long, Boolean>()

    private fun settled() =
        SimCluster(seed = 3).apply {
            assertTrue(runUntil(3_000) { isSettled }, describe())
            onOutput = { _, output -> if (output is RaftOutput.ReadChecked) checks[output.token] = output.isConfirmed }
        }

    private fun SimNode.read(token: Long) = handle(RaftInput.ConfirmRead(token))

    private fun SimCluster.isolate(node: SimNode) = network.isolate(node.instance, nodes.keys)

    @Nested
    inner class Leaders {
        @Test
        fun `a leader in contact with a majority confirms a read within two ticks`() {
            val cluster = settled()
            checkNotNull(cluster.leader).read(1)
            cluster.run(50)
            assertEquals(mapOf(1L to true), checks)
        }

        /**
         * Guards against an outdated configuration after a suspension. The clock of a suspended leader stops, so its
         * lease still looks valid when it resumes, although the others have elected another leader.
         */
        @Test
        fun `a leader with a valid lease that reaches nobody confirms nothing`() {
            val cluster = settled()
            val leader = checkNotNull(cluster.leader)
            cluster.isolate(leader)
            assertTrue(leader.raft?.readableState(cluster.timer.nowMs()) != null, "the lease is still valid")
            leader.read(1)
            cluster.run(2_000)
            assertEquals(mapOf(1L to false), checks)
        }

        /** Guards against confirming a read by the answer to a heartbeat that was sent before it. */
        @Test
        fun `answers to messages sent before the read do not confirm it`() {
            val cluster = settled()
            val leader = checkNotNull(cluster.leader)
            cluster.network.minDelayMs = 30
            cluster.run(300)
            leader.read(1)
            cluster.run(40)
            assertEquals(emptyMap(), checks)
            cluster.run(100)
            assertEquals(mapOf(1L to true), checks)
        }
    }

    @Nested
    inner class Followers {
        @Test
        fun `followers refuse a read at once`() {
            val cluster = settled()
            cluster.nodes.values
                .first { it != cluster.leader }
                .read(1)
            assertEquals(mapOf(1L to false), checks)
        }
    }

    @Nested
    inner class Configurations {
        private fun SimCluster.adopt(
            revision: Long,
            content: String,
        ) {
            propose(checkNotNull(leader), Command.AdoptConfig(revision, content))
            run(200)
        }

        /** Guards against a lower revision or a resend that replaces the configuration in force. */
        @Test
        fun `a configuration of an equal or lower revision changes nothing`() {
            val cluster = settled()
            cluster.adopt(5, "five")
            cluster.adopt(5, "other five")
            cluster.adopt(4, "four")
            val contents =
                cluster.nodes.values.map {
                    it.raft
                        ?.state
                        ?.adopted
                        ?.content
                }
            assertEquals(listOf("five", "five", "five"), contents)
            cluster.adopt(9, "nine")
            assertEquals(
                "nine",
                cluster.leader
                    ?.raft
                    ?.state
                    ?.adopted
                    ?.content,
            )
        }

        @Test
        fun `a configuration survives the restart of all members`() {
            val cluster = settled()
            cluster.adopt(5, "five")
            cluster.nodes.values.forEach { it.kill() }
            cluster.nodes.values.forEach { it.start() }
            assertTrue(cluster.runUntil(5_000) { cluster.isSettled }, cluster.describe())
            assertTrue(
                cluster.nodes.values.all {
                    it.raft
                        ?.state
                        ?.adopted
                        ?.content == "five"
                },
            )
        }
    }
}
