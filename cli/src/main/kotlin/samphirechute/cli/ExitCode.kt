package samphirechute.cli

/** The exit codes of `samphirectl`, documented in docs/operators/errors.md. */
internal enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    OK(0, "done"),
    FAILED(1, "files have errors, or the request ran and failed, or an answer could not be read"),
    USAGE(2, "the command line is wrong"),
    UNREACHABLE(3, "no server answered; nothing was sent or changed"),
    DENIED(4, "the key is missing or wrong"),
    CONFLICT(5, "another set was published first; nothing changed"),
    UNKNOWN(6, "the outcome is unknown; resend with the same operation or request identifier"),
    REFUSED(7, "refused; nothing ran or changed"),
}
