package samphirechute.state.store

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.StoreMember
import samphirechute.state.command.UpstreamOrder
import kotlin.test.Test
import kotlin.test.assertEquals

internal class StoreStateSpec : StateFixture() {
    private fun publish(
        id: String,
        base: Long,
        vararg names: String,
    ) = Command.PublishConfig(OperationId(id), base, names.map(::service))

    private fun service(name: String) =
        ServiceSpec(
            ServiceName(name),
            TeamName("t"),
            ServiceTarget.Model(PoolName("p")),
            firstTokenMs = 1,
            deadlineMs = 1,
        )

    @Nested
    inner class Config {
        /** Guards against two published sets on one base revision, and against a resend that publishes twice. */
        @Test
        fun `only the first publish on a base revision succeeds, and resends get their first answer`() {
            check(
                listOf(
                    Triple(1L, publish("one", 0, "x"), CommandResult.Published(1)),
                    Triple(1L, publish("two", 0, "y"), CommandResult.Conflict(1, OperationId("one"))),
                    Triple(2L, publish("three", 1, "z"), CommandResult.Published(2)),
                    Triple(2L, publish("four", 0), CommandResult.Conflict(1, OperationId("one"))),
                    Triple(3L, publish("one", 0, "x"), CommandResult.Published(1)),
                    Triple(3L, publish("two", 0, "y"), CommandResult.Conflict(1, OperationId("one"))),
                ),
            )
            assertEquals(listOf(ServiceName("z")), state.services.map { it.name })
            assertRejected("base_revision_ahead", 3, publish("five", 3))
            assertRejected("duplicate_service", 3, publish("six", 2, "a", "b", "a"))
        }

        /** Guards against stored operations that grow without limit or expire too early. */
        @Test
        fun `operations are stored for a day and up to a maximum number`() {
            state = StoreState(limits = StoreLimits(maxOperations = 2))
            apply(1, publish("one", 0))
            apply(1, publish("two", 1))
            apply(1 + StoreLimits.DAY_MS, Command.Noop)
            assertEquals(2, state.operations.size)
            apply(1 + StoreLimits.DAY_MS, publish("three", 2))
            assertEquals(setOf(OperationId("two"), OperationId("three")), state.operations.keys)
            apply(2 + StoreLimits.DAY_MS, Command.Noop)
            assertEquals(setOf(OperationId("three")), state.operations.keys)
        }

        /** Guards against a drain version that does not reflect every change. */
        @Test
        fun `the drain version increases with each change`() {
            val target = DrainTarget.Domain(FailureDomain("f"))
            check(
                listOf(
                    "1" to true,
                    "2" to true,
                    "3" to false,
                    "1" to true,
                    "4" to true,
                ).zip(listOf(1L, 1, 2, 1, 3)) { (id, isDrained), version ->
                    Triple(1L, Command.SetDrain(OperationId(id), target, isDrained), CommandResult.Drained(version))
                },
            )
            assertEquals(setOf<DrainTarget>(target), state.drains)
        }

        /** Guards against an order that was held up on its way and undoes a later one. */
        @Test
        fun `a drain for an older version changes nothing`() {
            val target = DrainTarget.Domain(FailureDomain("f"))
            apply(1, Command.SetDrain(OperationId("1"), target, true, baseVersion = 0))
            apply(1, Command.SetDrain(OperationId("2"), target, false, baseVersion = 1))
            apply(1, Command.SetDrain(OperationId("3"), target, true, baseVersion = 2))
            assertRejected("drains_changed", 1, Command.SetDrain(OperationId("4"), target, false, baseVersion = 1))
            assertEquals(setOf<DrainTarget>(target), state.drains)
        }
    }

    @Nested
    inner class Documents {
        private val accept =
            Command.AcceptDocument("doc", ServiceName("s"), RequestId("r"), "d", listOf(InstanceId("a")), 50_000)

        private fun assign(by: Claimant) = Command.AssignDocument("doc", by, 15_000)

        private fun finish(
            by: Claimant,
            errorCode: String? = null,
        ) = Command.FinishDocument("doc", by, "answer", listOf(by.instance), errorCode)

        /** Guards against two simultaneous runners, a lost document and a second answer. */
        @Test
        fun `a document is leased, reassigned after the loss of its runner and finished once`() {
            assertRejected("document_unknown", 1, assign(first))
            apply(1, accept)
            assertEquals(CommandResult.Done, apply(2, accept))
            assertRejected("document_id_taken", 2, accept.copy(bodyDigest = "e"))
            apply(1_000, assign(first))
            apply(5_000, assign(first))
            assertRejected("document_leased", 19_999, assign(other))
            assertRejected("document_not_held", 19_999, finish(other))
            assertEquals(CommandResult.Done, apply(20_000, assign(other)))
            apply(20_001, Command.RecordIncarnation(other.copy(incarnation = 2)))
            assertEquals(CommandResult.Done, apply(20_002, assign(first)))
            assertRejected("document_not_held", 20_003, finish(other))
            assertRejected("document_not_held", 50_000, finish(other, DOCUMENT_DEADLINE_EXCEEDED))
            assertEquals(CommandResult.Done, apply(50_001, finish(other, DOCUMENT_DEADLINE_EXCEEDED)))
            assertRejected("document_finished", 50_002, assign(first))
            assertEquals(DOCUMENT_DEADLINE_EXCEEDED, state.documents["doc"]?.errorCode)
            apply(50_002 + StoreLimits.DAY_MS, Command.Noop)
            assertEquals(0, state.documents.size)
        }
    }

    @Nested
    inner class Orders {
        private fun issue(
            id: String,
            fencingNumber: Long,
        ) = Command.IssueOrder(OperationId(id), UpstreamId("u"), UpstreamOrder.ChangeRole("x"), fencingNumber)

        /** Guards against an order from a leader that has been replaced. */
        @Test
        fun `an order with an older fencing number is refused`() {
            assertEquals(CommandResult.Done, apply(1, issue("one", 4)))
            assertRejected("stale_fencing_number", 1, issue("two", 3))
            assertRejected("order_unknown", 1, Command.FinishOrder(OperationId("two"), true, ""))
            apply(2, Command.FinishOrder(OperationId("one"), true, "loaded"))
            apply(3, Command.FinishOrder(OperationId("one"), false, "late"))
            assertEquals("loaded", state.orders[OperationId("one")]?.detail)
        }
    }

    @Nested
    inner class Quarantines {
        private fun record(
            name: String,
            isActive: Boolean,
            round: Int,
            probes: Int = 0,
        ) = Command.RecordQuarantine(setOf(RequestTrait(name)), isActive, round, probes, InstanceId("a"))

        private fun recorded(name: String) = state.quarantines[setOf(RequestTrait(name))]

        /** Guards against an older decision that is committed later and brings back what was lifted. */
        @Test
        fun `the highest round and probe wins, in whichever order they are committed`() {
            apply(1, record("x", true, 1))
            apply(2, record("x", true, 1, probes = 1))
            apply(3, record("x", false, 2))
            apply(4, record("x", true, 1, probes = 2))
            assertEquals(QuarantineRecord(setOf(RequestTrait("x")), false, 2, 0, InstanceId("a"), 3), recorded("x"))
        }

        @Test
        fun `their number is bounded, and lifted ones go first`() {
            state = StoreState(limits = StoreLimits(maxQuarantines = 2))
            apply(1, record("x", true, 1))
            apply(1, record("y", false, 2))
            apply(1, record("z", true, 1))
            assertEquals(listOf("x", "z"), state.quarantines.keys.map { it.single().value })
            apply(1, record("w", true, 1))
            assertEquals(listOf("z", "w"), state.quarantines.keys.map { it.single().value })
        }
    }

    @Nested
    inner class Snapshots {
        /** Guards against a member whose state differs from that of the others after a snapshot. */
        @Test
        fun `a state rebuilt from its snapshot parts is equal and expires in the same order`() {
            val member = StoreMember(InstanceId("a"), FailureDomain("f"), HostPort("127.0.0.1", 1), "disk")
            apply(1, publish("one", 0, "x", "y"))
            apply(1, Command.AddMember(OperationId("add"), member))
            apply(2, Command.SetDrain(OperationId("drain"), DrainTarget.Upstream(UpstreamId("u")), true))
            apply(3, Command.AcceptDocument("doc", ServiceName("s"), RequestId("r"), "d", emptyList(), 9_000))
            apply(4, Command.IssueOrder(OperationId("order"), UpstreamId("u"), UpstreamOrder.LoadModel("m", "1"), 7))
            for (number in 1..1_200) {
                val one = key.copy(requestId = RequestId("r$number"))
                apply(5L + number, Command.ClaimRequest(one, "d", first, 9_000))
                if (number % 2 ==
                    0
                ) {
                    apply(5L + number, Command.FinishClaim(one, first, answer.copy(body = "x".repeat(2_000))))
                }
            }
            val copy = state.snapshotParts().fold(StoreState(), StoreState::plus)
            assertEquals(state, copy)
            assertEquals(state.claims.keys.toList(), copy.claims.keys.toList())
            assertEquals(state.keptAnswers.toList(), copy.keptAnswers.toList())
        }

        /** Guards against a log time that goes back when the clock of a leader does. */
        @Test
        fun `the log time does not decrease`() {
            apply(10, Command.Noop)
            apply(5, Command.Noop)
            assertEquals(10, state.atMs)
        }
    }
}
