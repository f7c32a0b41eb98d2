package samphirechute.state.document

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class DocumentAssignerSpec {
    private val self = claimant("leader")
    private val assigner = DocumentAssigner(self, Random(2), maxPerRunner = 2)
    private var nowMs = 0L
    private val committed = mutableListOf<Command>()

    private fun claimant(
        name: String,
        incarnation: Long = 1,
    ) = Claimant(InstanceId(name), incarnation)

    private fun runners(vararg conditions: Pair<Claimant, RunnerCondition>) =
        feed(DocumentInput.RunnersChanged(conditions.map { DocumentRunner(it.first, it.second) }))

    private fun available(vararg names: String) =
        runners(*names.map { claimant(it) to RunnerCondition.AVAILABLE }.toTypedArray())

    /** Feeds [input] to the assigner. When [isStoreUp], its commands are committed and applied at once. */
    private fun feed(
        input: DocumentInput,
        isStoreUp: Boolean = true,
    ) {
        for (output in assigner.handle(input, nowMs)) {
            val command = (output as DocumentOutput.Commit).command
            committed += command
            if (!isStoreUp) continue
            when (command) {
                is Command.AssignDocument -> feed(DocumentInput.Assigned(command.id, command.runner, command.leaseMs))
                is Command.FinishDocument -> feed(DocumentInput.Finished(command.id))
                else -> error("unexpected $command")
            }
        }
    }

    private fun run(
        ms: Long,
        isStoreUp: Boolean = true,
    ) = repeat((ms / 100).toInt()) {
        nowMs += 100
        feed(DocumentInput.Ticked, isStoreUp)
    }

    private fun becomeLeader(vararg documents: OpenDocument) = feed(DocumentInput.LeadershipBegan(documents.toList()))

    private fun document(
        id: String,
        runner: Claimant? = null,
        remainingMs: Long = 600_000,
    ) = OpenDocument(id, remainingMs, runner)

    private val assigned
        get() = committed.filterIsInstance<Command.AssignDocument>().map { it.id to it.runner.instance.value }

    @Nested
    inner class Assignment {
        /** Guards against accepted documents without a runner, and against instances over their limit. */
        @Test
        fun `documents go to the least loaded instances up to the limit, earliest deadline first`() {
            available("a", "b")
            becomeLeader(
                document("late"),
                document("d1", null, 1_000),
                document("d2", null, 2_000),
                document("d3", null, 3_000),
            )
            feed(DocumentInput.Accepted(document("more")))
            assertEquals(listOf("d1", "d2", "d3", "late"), assigned.map { it.first })
            assertEquals(mapOf("a" to 2, "b" to 2), assigned.groupingBy { it.second }.eachCount())
            feed(DocumentInput.Finished("d2"))
            assertEquals("more", assigned.last().first)
        }

        /** Guards against documents that stay with a lost instance, and against needless reassignments. */
        @Test
        fun `a document is assigned again only when its runner is lost or its lease has expired`() {
            val rows =
                listOf(
                    Triple("dead", listOf(claimant("a") to RunnerCondition.LOST), 0L),
                    Triple("restarted", listOf(claimant("a", 2) to RunnerCondition.NOT_TAKING), 0L),
                    Triple("leaving", listOf(claimant("a") to RunnerCondition.NOT_TAKING), DOCUMENT_LEASE_MS),
                    Triple("unknown", emptyList(), DOCUMENT_LEASE_MS),
                )
            for ((name, conditions, expectedMs) in rows) {
                committed.clear()
                available()
                becomeLeader(document("d", claimant("a")))
                val beganMs = nowMs
                runners(claimant("b") to RunnerCondition.AVAILABLE, *conditions.toTypedArray())
                while (assigned.isEmpty() && nowMs < beganMs + 60_000) run(100)
                assertEquals(listOf("d" to "b"), assigned, name)
                assertEquals(beganMs + maxOf(expectedMs, 100L), maxOf(nowMs, beganMs + 100), name)
            }
        }

        /** Guards against a renewal that does not extend the lease. */
        @Test
        fun `a document whose lease is renewed keeps its runner`() {
            available("b")
            becomeLeader(document("d", claimant("a")))
            repeat(20) {
                run(DOCUMENT_RENEWAL_MS)
                feed(DocumentInput.Assigned("d", claimant("a"), DOCUMENT_LEASE_MS))
            }
            assertEquals(emptyList(), assigned)
        }
    }

    @Nested
    inner class Time {
        /** Guards against documents that never get a result, for example because the store did not answer. */
        @Test
        fun `a document past its deadline fails, and its result is sent again until the commit is known`() {
            becomeLeader(document("d", null, 1_000))
            run(4_900, isStoreUp = false)
            assertEquals(
                setOf<Command>(Command.FinishDocument("d", self, null, emptyList(), "deadline_exceeded")),
                committed.toSet(),
            )
            assertEquals(2, committed.size)
        }

        /** Guards against a clock jump on the leader that fails or reassigns every document. */
        @Test
        fun `a clock jump neither fails nor reassigns a document`() {
            available("b")
            becomeLeader(document("d", claimant("a")))
            nowMs += 3_600_000
            run(1_000)
            assertEquals(emptyList(), committed)
        }

        /** Guards against a member that assigns documents while another one leads. */
        @Test
        fun `a member that is not leader commits nothing`() {
            available("a")
            feed(DocumentInput.Accepted(document("d", null, 1_000)))
            run(2_000)
            becomeLeader(document("e"))
            feed(DocumentInput.LeadershipEnded)
            run(60_000)
            assertEquals(listOf("e" to "a"), assigned)
            assertEquals(1, committed.size)
        }
    }

    @Nested
    inner class Runner {
        /** Guards against a lease that expires under a running document, and a document that runs after its lease. */
        @Test
        fun `a runner renews in time, and stops when its lease expired or another instance has the document`() {
            val leases = RunnerLeases(claimant("a"))
            val ownAssignment = RunnerInput.Assigned("d", claimant("a"))
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Start("d")), leases.handle(ownAssignment, 0))
            assertEquals(emptyList(), leases.handle(RunnerInput.Ticked, 4_900))
            val renewal = RunnerOutput.Renew(Command.AssignDocument("d", claimant("a"), DOCUMENT_LEASE_MS))
            assertEquals(listOf<RunnerOutput>(renewal), leases.handle(RunnerInput.Ticked, 5_000))
            assertEquals(emptyList(), leases.handle(ownAssignment, 9_000))
            assertEquals(setOf("d"), leases.running)
            leases.handle(RunnerInput.Ticked, 10_000)
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(RunnerInput.Ticked, 20_000))
            leases.handle(ownAssignment, 21_000)
            val otherAssignment = RunnerInput.Assigned("d", claimant("b"))
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(otherAssignment, 22_000))
            leases.handle(ownAssignment, 23_000)
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(RunnerInput.Finished("d"), 24_000))
        }
    }
}
