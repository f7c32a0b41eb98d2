package samphirechute.state.store

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.TimedCommand
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** A store state and the helpers with which tests apply commands to it. */
internal abstract class StateFixture {
    var state = StoreState()
    val key = ClaimKey(TeamName("t"), ServiceName("s"), RequestId("r"))
    val first = Claimant(InstanceId("a"), 1)
    val other = Claimant(InstanceId("b"), 1)
    val answer = ClaimResult(200, "text/plain", "done")

    fun apply(
        atMs: Long,
        command: Command,
    ): CommandResult {
        val applied = state.apply(state.index + 1, TimedCommand(atMs, command))
        state = applied.state
        return applied.result
    }

    fun claim(
        by: Claimant = first,
        digest: String = "d",
        deadlineMs: Long = 1_000,
    ) = Command.ClaimRequest(key, digest, by, deadlineMs)

    /** Applies each command at its time and compares the result. */
    fun check(rows: List<Triple<Long, Command, CommandResult>>) =
        rows.forEachIndexed {
            row,
            (atMs, command, expected),
            ->
            assertEquals(expected, apply(atMs, command), "row $row: $command")
        }

    fun state(of: ClaimState) = CommandResult.Claim(of)

    /** Checks that [command] is rejected with [code] and changes only the index and the time. */
    fun assertRejected(
        code: String,
        atMs: Long,
        command: Command,
    ) {
        val before = state
        assertEquals(code, assertIs<CommandResult.Rejected>(apply(atMs, command)).code)
        assertEquals(before.copy(index = state.index, atMs = state.atMs), state)
    }
}
