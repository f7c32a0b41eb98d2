package samphirechute.state.store

import org.junit.jupiter.api.Nested
import samphirechute.core.RequestId
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import kotlin.test.Test
import kotlin.test.assertEquals

internal class ClaimRulesSpec : StateFixture() {
    @Nested
    inner class Claims {
        private val running = state(ClaimState.Running(first, 1_000))

        /** Guards against a second run of a request that must run at most once. */
        @Test
        fun `a resend gets the state given in the claim table of the design`() {
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

        /** Guards against an outcome or a release from anyone but the holder of the claim. */
        @Test
        fun `only the claimant can change its claim, also after the deadline`() {
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

        /** Guards against a claim by an earlier incarnation after a later one has started. */
        @Test
        fun `a claim with an outdated incarnation or an invalid deadline is refused`() {
            apply(1, Command.RecordIncarnation(first.copy(incarnation = 2)))
            assertRejected("stale_incarnation", 1, claim())
            assertRejected("stale_incarnation", 1, Command.RecordIncarnation(first))
            assertRejected("deadline_too_far", 1, claim(other, deadlineMs = StoreLimits.DAY_MS + 2))
            assertRejected("deadline_passed", 6_001, claim(other))
        }

        /** Guards against answers that fill the memory of every member. */
        @Test
        fun `answers are kept up to the size limits, and the oldest are dropped first`() {
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

        /** Guards against a claim that is removed while a resend may still arrive, or is kept forever. */
        @Test
        fun `a claim expires a day and the grace period after it was accepted`() {
            apply(1, claim(deadlineMs = StoreLimits.DAY_MS))
            val endMs = 1 + StoreLimits.DAY_MS + 5_000
            assertEquals(state(ClaimState.Running(first, StoreLimits.DAY_MS)), apply(StoreLimits.DAY_MS, claim(other)))
            apply(endMs, Command.Noop)
            assertEquals(1, state.claims.size)
            apply(endMs + 1, Command.Noop)
            assertEquals(0, state.claims.size)
        }
    }
}
