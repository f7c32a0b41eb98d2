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
        give(DocumentInput.RunnersChanged(conditions.map { DocumentRunner(it.first, it.second) }))

    private fun available(vararg names: String) =
        runners(*names.map { claimant(it) to RunnerCondition.AVAILABLE }.toTypedArray())

    /** Gives [input]; what it commits is applied at once when [isStoreUp]. */
    private fun give(
        input: DocumentInput,
        isStoreUp: Boolean = true,
    ) {
        for (output in assigner.handle(input, nowMs)) {
            val command = (output as DocumentOutput.Commit).command
            committed += command
            if (!isStoreUp) continue
            when (command) {
                is Command.AssignDocument -> give(DocumentInput.Assigned(command.id, command.runner, command.leaseMs))
                is Command.FinishDocument -> give(DocumentInput.Finished(command.id))
                else -> error("unexpected $command")
            }
        }
    }

    private fun run(
        ms: Long,
        isStoreUp: Boolean = true,
    ) = repeat((ms / 100).toInt()) {
        nowMs += 100
        give(DocumentInput.Ticked, isStoreUp)
    }

    private fun lead(vararg documents: OpenDocument) = give(DocumentInput.LeadershipBegan(documents.toList()))

    private fun document(
        id: String,
        runner: Claimant? = null,
        remainingMs: Long = 600_000,
    ) = OpenDocument(id, remainingMs, runner)

    private val assigned
        get() = committed.filterIsInstance<Command.AssignDocument>().map { it.id to it.runner.instance.value }

    @Nested
    inner class Assignment {
        /** Guards against accepted documents that nobody runs, and against instances with more than they may have. */
        @Test
        fun `documents go to the least loaded instances up to the limit, the most urgent first`() {
            available("a", "b")
            lead(
                document("late"),
                document("d1", null, 1_000),
                document("d2", null, 2_000),
                document("d3", null, 3_000),
            )
            give(DocumentInput.Accepted(document("more")))
            assertEquals(listOf("d1", "d2", "d3", "late"), assigned.map { it.first })
            assertEquals(mapOf("a" to 2, "b" to 2), assigned.groupingBy { it.second }.eachCount())
            give(DocumentInput.Finished("d2"))
            assertEquals("more", assigned.last().first)
        }

        /** Guards against documents that stay with an instance that is lost, and against moves without need. */
        @Test
        fun `a document is assigned again only when its runner is lost or its lease ran out`() {
            val rows =
                listOf(
                    Triple("dead", listOf(claimant("a") to RunnerCondition.LOST), 0L),
                    Triple("restarted", listOf(claimant("a", 2) to RunnerCondition.NOT_TAKING), 0L),
                    Triple("leaving", listOf(claimant("a") to RunnerCondition.NOT_TAKING), DOCUMENT_LEASE_MS),
                    Triple("not known", emptyList(), DOCUMENT_LEASE_MS),
                )
            for ((name, conditions, expectedMs) in rows) {
                committed.clear()
                available()
                lead(document("d", claimant("a")))
                val beganMs = nowMs
                runners(claimant("b") to RunnerCondition.AVAILABLE, *conditions.toTypedArray())
                while (assigned.isEmpty() && nowMs < beganMs + 60_000) run(100)
                assertEquals(listOf("d" to "b"), assigned, name)
                assertEquals(beganMs + maxOf(expectedMs, 100L), maxOf(nowMs, beganMs + 100), name)
            }
        }

        /** Guards against a renewal that does not count. */
        @Test
        fun `a document that is renewed stays where it is`() {
            available("b")
            lead(document("d", claimant("a")))
            repeat(20) {
                run(DOCUMENT_RENEWAL_MS)
                give(DocumentInput.Assigned("d", claimant("a"), DOCUMENT_LEASE_MS))
            }
            assertEquals(emptyList(), assigned)
        }
    }

    @Nested
    inner class Time {
        /** Guards against documents that are neither finished nor failed, also while the store does not answer. */
        @Test
        fun `a document past its deadline fails, and the result is committed again until it is known`() {
            lead(document("d", null, 1_000))
            run(4_900, isStoreUp = false)
            assertEquals(
                setOf<Command>(Command.FinishDocument("d", self, null, emptyList(), "deadline_exceeded")),
                committed.toSet(),
            )
            assertEquals(2, committed.size)
        }

        /** Guards against a clock that jumps in the leader and fails or moves every document. */
        @Test
        fun `a clock that jumps changes nothing`() {
            available("b")
            lead(document("d", claimant("a")))
            nowMs += 3_600_000
            run(1_000)
            assertEquals(emptyList(), committed)
        }

        /** Guards against a member that decides while another leads. */
        @Test
        fun `a member that does not lead decides nothing`() {
            available("a")
            give(DocumentInput.Accepted(document("d", null, 1_000)))
            run(2_000)
            lead(document("e"))
            give(DocumentInput.LeadershipEnded)
            run(60_000)
            assertEquals(listOf("e" to "a"), assigned)
            assertEquals(1, committed.size)
        }
    }

    @Nested
    inner class Runner {
        /** Guards against a lease that runs out while the document runs, and a document that runs on after it. */
        @Test
        fun `a runner renews in time, and stops when it could not or another has the document`() {
            val leases = RunnerLeases(claimant("a"))
            val mine = RunnerInput.Assigned("d", claimant("a"))
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Start("d")), leases.handle(mine, 0))
            assertEquals(emptyList(), leases.handle(RunnerInput.Ticked, 4_900))
            val renewal = RunnerOutput.Renew(Command.AssignDocument("d", claimant("a"), DOCUMENT_LEASE_MS))
            assertEquals(listOf<RunnerOutput>(renewal), leases.handle(RunnerInput.Ticked, 5_000))
            assertEquals(emptyList(), leases.handle(mine, 9_000))
            assertEquals(setOf("d"), leases.running)
            leases.handle(RunnerInput.Ticked, 10_000)
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(RunnerInput.Ticked, 20_000))
            leases.handle(mine, 21_000)
            val other = RunnerInput.Assigned("d", claimant("b"))
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(other, 22_000))
            leases.handle(mine, 23_000)
            assertEquals(listOf<RunnerOutput>(RunnerOutput.Stop("d")), leases.handle(RunnerInput.Finished("d"), 24_000))
        }
    }
}
