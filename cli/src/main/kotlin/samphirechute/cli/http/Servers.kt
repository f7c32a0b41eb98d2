package samphirechute.cli.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.core.HostPort
import samphirechute.core.RunState
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.core.api.ErrorDetail
import kotlin.math.max
import kotlin.math.min

/** The servers of one command, tried in the order given. */
internal class Servers(
    private val addresses: List<HostPort>,
    private val key: String?,
    private val timeoutMs: Long,
    private val context: CliContext,
    private val isQuiet: Boolean = false,
) {
    /** Reads [path] from the first server that answers. */
    fun get(path: String): Result<String, CliError> {
        val failures = mutableListOf<String>()
        var refusal: CliError? = null
        for (address in addresses) {
            when (val reply = ask(ApiCall(address, "GET", path, headers(), timeoutMs = timeoutMs))) {
                is Reply.Done -> return Ok(reply.body)
                is Reply.Final -> return Err(reply.error)
                is Reply.Later -> refusal = CliError.Refused(reply.detail, "$address")
                is Reply.Lost -> failures += "$address: ${reply.failure.message}"
            }
        }
        return Err(refusal ?: CliError.Unreachable(failures.joinToString("; ")))
    }

    /**
     * Sends a change to one server after the other until one has decided on it or the time is over. [body] carries an
     * operation identifier, so a server that gets it again gives the first reply.
     */
    fun change(
        path: String,
        body: String,
    ): Result<String, CliError> {
        val deadlineMs = context.clock.nowMs() + timeoutMs
        var mayHaveChanged = false
        var last: CliError = CliError.Unreachable("no server given")
        var pauseMs = FIRST_PAUSE_MS
        while (true) {
            var retryAfterMs = 0L
            for (address in addresses) {
                val remainingMs = deadlineMs - context.clock.nowMs()
                if (remainingMs <= 0) return Err(outcome(mayHaveChanged, last))
                val reply = ask(ApiCall(address, "POST", path, headers(), body, min(remainingMs, ATTEMPT_MS)))
                when (reply) {
                    is Reply.Done -> {
                        return Ok(reply.body)
                    }

                    is Reply.Final -> {
                        return Err(outcome(mayHaveChanged, reply.error))
                    }

                    is Reply.Later -> {
                        last = CliError.Refused(reply.detail, "$address")
                        mayHaveChanged = mayHaveChanged || reply.detail.runState != RunState.NOT_RUN
                        retryAfterMs = max(retryAfterMs, reply.detail.retryAfterMs ?: 0)
                    }

                    is Reply.Lost -> {
                        last = lost(address, reply.failure)
                        mayHaveChanged = mayHaveChanged || reply.failure.mayHaveArrived
                    }
                }
                note(last.message)
            }
            val waitMs = max(pauseMs, retryAfterMs)
            if (context.clock.nowMs() + waitMs >= deadlineMs) return Err(outcome(mayHaveChanged, last))
            note("retrying in $waitMs ms")
            context.sleep(waitMs)
            pauseMs = min(pauseMs * 2, LONGEST_PAUSE_MS)
        }
    }

    private fun ask(call: ApiCall): Reply =
        context.gateway.call(call).fold({
            classify(call.server, it)
        }, { Reply.Lost(it) })

    private fun headers() = key?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()

    private fun note(text: String) {
        if (!isQuiet) context.err.println(text)
    }

    private fun lost(
        address: HostPort,
        failure: CallFailure,
    ): CliError {
        val message = "$address: ${failure.message}"
        return if (failure.mayHaveArrived) CliError.UnknownOutcome(message) else CliError.Unreachable(message)
    }

    private fun outcome(
        mayHaveChanged: Boolean,
        last: CliError,
    ) = if (mayHaveChanged) CliError.UnknownOutcome("the outcome is unknown; last: ${last.message}") else last

    private companion object {
        const val FIRST_PAUSE_MS = 200L
        const val LONGEST_PAUSE_MS = 2_000L

        /** A server answers within 5 s whether it decided; a silent one may not use up the time for the others. */
        const val ATTEMPT_MS = 7_000L
    }
}

private sealed class Reply {
    class Done(
        val body: String,
    ) : Reply()

    /** Another attempt would get the same. */
    class Final(
        val error: CliError,
    ) : Reply()

    /** The server cannot decide now. */
    class Later(
        val detail: ErrorDetail,
    ) : Reply()

    class Lost(
        val failure: CallFailure,
    ) : Reply()
}

private const val FIRST_ERROR_STATUS = 300
private const val FIRST_SERVER_ERROR = 500
private const val TOO_MANY_REQUESTS = 429
private val denied = setOf(401, 403)

private fun classify(
    server: HostPort,
    answer: ApiAnswer,
): Reply =
    when {
        answer.status < FIRST_ERROR_STATUS -> Reply.Done(answer.body)
        answer.status in denied -> Reply.Final(CliError.Denied("$server"))
        answer.status >= FIRST_SERVER_ERROR || answer.status == TOO_MANY_REQUESTS -> Reply.Later(answer.errorDetail())
        else -> Reply.Final(CliError.Refused(answer.errorDetail(), "$server"))
    }

/** The error in the body; an answer with no such body is taken as one whose request may have run. */
internal fun ApiAnswer.errorDetail(): ErrorDetail =
    runCatching { ApiJson.decodeFromString<ErrorBody>(body).error }
        .getOrElse { ErrorDetail("http_$status", "the server answered with status $status", RunState.UNKNOWN) }
