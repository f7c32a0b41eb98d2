package samphirechute.cli

import samphirechute.core.RunState
import samphirechute.core.api.ErrorDetail
import samphirechute.core.settings.SettingsError

/** Why a command failed, with the text for people and the exit code for programs. */
internal sealed class CliError(
    val exitCode: ExitCode,
    val message: String,
) {
    class Usage(
        message: String,
    ) : CliError(ExitCode.USAGE, message)

    class WrongFiles(
        errors: List<SettingsError>,
    ) : CliError(ExitCode.FAILED, errors.joinToString("\n") { it.message } + "\n${errors.size} error(s) found")

    class Unreachable(
        detail: String,
    ) : CliError(ExitCode.UNREACHABLE, "no server answered: $detail")

    class Denied(
        server: String,
    ) : CliError(
            ExitCode.DENIED,
            "$server does not accept the key; give the operator key with --key-file or in SAMPHIRECTL_KEY",
        )

    class Conflict(
        message: String,
    ) : CliError(ExitCode.CONFLICT, message)

    class UnknownOutcome(
        message: String,
    ) : CliError(ExitCode.UNKNOWN, message)

    /** A server answered with an error; the exit code tells whether the request ran. */
    class Refused(
        detail: ErrorDetail,
        server: String? = null,
    ) : CliError(exitCodeOf(detail.runState), server?.let { "$it: " }.orEmpty() + describe(detail))

    class Failed(
        message: String,
    ) : CliError(ExitCode.FAILED, message)
}

private fun exitCodeOf(runState: RunState) =
    when (runState) {
        RunState.NOT_RUN -> ExitCode.REFUSED
        RunState.RAN -> ExitCode.FAILED
        RunState.UNKNOWN -> ExitCode.UNKNOWN
    }

private fun describe(detail: ErrorDetail): String {
    val hint = detail.retryAfterMs?.let { ", retry after $it ms" }.orEmpty()
    return "${detail.code}: ${detail.message} (run state ${detail.runState.wireName}$hint)"
}
