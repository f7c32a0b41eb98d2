package samphirechute.state.store

import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.StoreMember
import samphirechute.state.command.Timed
import samphirechute.state.command.UpstreamOrder
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class StoreStateSpec {
    private var state = StoreState()
    private val key = ClaimKey(TeamName("t"), ServiceName("s"), RequestId("r"))
    private val first = Claimant(InstanceId("a"), 1)
    private val other = Claimant(InstanceId("b"), 1)
    private val answer = ClaimResult(200, "text/plain", "done")

    private fun apply(
        atMs: Long,
        command: Command,
    ): CommandResult {
        val applied = state.apply(state.index + 1, Timed(atMs, command))
        state = applied.state
        return applied.result
    }

    private fun claim(
        by: Claimant = first,
        digest: String = "d",
        deadlineMs: Long = 1_000,
    ) = Command.ClaimRequest(key, digest, by, deadlineMs)

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

    private fun check(rows: List<Triple<Long, Command, CommandResult>>) =
        rows.forEachIndexed {
            row,
            (atMs, command, expected),
            ->
            assertEquals(expected, apply(atMs, command), "row $row: $command")
        }

    private fun state(of: ClaimState) = CommandResult.Claim(of)

    private fun assertRejected(
        code: String,
        atMs: Long,
        command: Command,
    ) {
        val before = state
        assertEquals(code, assertIs<CommandResult.Rejected>(apply(atMs, command)).code)
        assertEquals(before.copy(index = state.index, atMs = state.atMs), state)
    }

    @Nested
    inner class Claims {
        private val running = state(ClaimState.Running(first, 1_000))

        /** Guards against a second run of a request that must run at most once. */
        @Test
        fun `a resend finds what the table of the design says`() {
            val tables: List<Pair<List<Command>, List<Triple<Long, Command, CommandResult>>>> =
                listOf(
                    emptyList<Command>() to
                        listOf(
                            Triple(1L, claim(), running),
                            Triple(6_000L, claim(other), running),
                            Triple(6_000L, claim(other, digest = "e"), state(ClaimState.OtherBody)),
                            Triple(6_001L, claim(other), state(ClaimState.Unknown)),
                        ),
                    listOf(Command.FinishClaim(key, first, answer)) to
                        listOf(Triple(9_000L, claim(other), state(ClaimState.Finished(answer)))),
                    listOf(Command.FinishClaim(key, first, answer.copy(isUnknown = true))) to
                        listOf(Triple(2L, claim(other), state(ClaimState.Unknown))),
                    listOf(Command.ReleaseClaim(key, first)) to
                        listOf(Triple(2L, claim(other), state(ClaimState.Accepted))),
                    listOf(Command.RecordIncarnation(first.copy(incarnation = 2))) to
                        listOf(Triple(2L, claim(other), state(ClaimState.Unknown))),
                    listOf(claim(first.copy(incarnation = 2))) to
                        listOf(Triple(2L, claim(other), state(ClaimState.Unknown))),
                )
            for ((before, rows) in tables) {
                state = StoreState()
                assertEquals(state(ClaimState.Accepted), apply(1, claim()))
                before.forEach { apply(1, it) }
                check(rows)
            }
        }

        /** Guards against an outcome or a release that comes from anyone but the holder of the claim. */
        @Test
        fun `only the claimant itself changes its claim, also late`() {
            assertRejected("claim_not_held", 1, Command.FinishClaim(key, first, answer))
            apply(1, claim())
            for (stranger in listOf(other, first.copy(incarnation = 2))) {
                assertRejected("claim_not_held", 1, Command.FinishClaim(key, stranger, answer))
                assertRejected("claim_not_held", 1, Command.ReleaseClaim(key, stranger))
            }
            assertEquals(state(ClaimState.Unknown), apply(9_000, claim(other)))
            assertEquals(CommandResult.Done, apply(9_000, Command.FinishClaim(key, first, answer)))
            assertEquals(CommandResult.Done, apply(9_000, Command.FinishClaim(key, first, answer.copy(body = "other"))))
            assertEquals(state(ClaimState.Finished(answer)), apply(9_000, claim(other)))
            assertRejected("claim_finished", 9_000, Command.ReleaseClaim(key, first))
        }

        /** Guards against a claim that a process takes after its successor has started. */
        @Test
        fun `an outdated or impossible claim is refused`() {
            apply(1, Command.RecordIncarnation(first.copy(incarnation = 2)))
            assertRejected("stale_incarnation", 1, claim())
            assertRejected("stale_incarnation", 1, Command.RecordIncarnation(first))
            assertRejected("deadline_too_far", 1, claim(other, deadlineMs = StoreLimits.DAY_MS + 2))
            assertRejected("deadline_passed", 6_001, claim(other))
        }

        /** Guards against answers that fill the memory of every member. */
        @Test
        fun `answers are kept up to their bounds, oldest dropped first`() {
            state = StoreState(limits = StoreLimits(maxAnswerBytes = 4, maxKeptAnswerBytes = 10, maxClaims = 5))
            val keys = (1..5).map { key.copy(requestId = RequestId("r$it")) }
            val bodies = listOf("1234", "éé", "12345", "1234", "1")
            keys.zip(bodies).forEach { (key, body) ->
                apply(1, Command.ClaimRequest(key, "d", first, 1_000))
                apply(1, Command.FinishClaim(key, first, answer.copy(body = body)))
            }
            assertEquals(listOf(null, "éé", null, "1234", "1"), keys.map { state.claims[it]?.result?.body })
            assertEquals(9, state.keptAnswerBytes)
            assertRejected("claims_full", 1, claim())
        }

        /** Guards against a claim that is forgotten while a resend may still come, or is kept forever. */
        @Test
        fun `a claim expires a day after it was given`() {
            apply(1, claim(deadlineMs = StoreLimits.DAY_MS))
            val endMs = 1 + StoreLimits.DAY_MS + 5_000
            assertEquals(state(ClaimState.Running(first, StoreLimits.DAY_MS)), apply(StoreLimits.DAY_MS, claim(other)))
            apply(endMs, Command.Noop)
            assertEquals(1, state.claims.size)
            apply(endMs + 1, Command.Noop)
            assertEquals(0, state.claims.size)
        }
    }

    @Nested
    inner class Config {
        /** Guards against two winners on one base revision, and against a resend that publishes twice. */
        @Test
        fun `one of several publishes on a base wins, and resends get their first answer`() {
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

        /** Guards against remembered operations that grow without bound or go too early. */
        @Test
        fun `operations are remembered for a day and up to a number`() {
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

        /** Guards against drains whose version does not tell a change. */
        @Test
        fun `the drain version grows with each change`() {
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

        /** Guards against two runners at once, a lost document, and a second answer. */
        @Test
        fun `a document is leased, reassigned after a loss and finished once`() {
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

        /** Guards against an order of a leader that has been replaced. */
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
    inner class Snapshots {
        /** Guards against a member that continues from a snapshot with another state than the others. */
        @Test
        fun `the parts of a state make the same state, which expires in the same order`() {
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

        /** Guards against a log whose time goes back when a leader's clock does. */
        @Test
        fun `time does not decrease`() {
            apply(10, Command.Noop)
            apply(5, Command.Noop)
            assertEquals(10, state.atMs)
        }
    }
}
