package samphirechute.cli.output

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.http.AnswerSink
import samphirechute.cli.http.ApiAnswer
import samphirechute.cli.http.errorDetail
import java.io.ByteArrayOutputStream

/** Prints the answer to one request as it arrives, or as one line of JSON at its end. */
internal class AnswerPrinter(
    private val context: CliContext,
    private val identifier: String,
    private val isJson: Boolean,
) : AnswerSink {
    private val startMs = context.clock.nowMs()
    private val streamed = AnswerText(::show)
    private val plain = ByteArrayOutputStream()
    private val collected = StringBuilder()
    private var isStream = false
    private var firstTextMs: Long? = null

    val hasText: Boolean get() = firstTextMs != null

    fun note(text: String) {
        if (!isJson) context.err.println(text)
    }

    override fun onHead(
        status: Int,
        headers: Map<String, String>,
    ) {
        isStream = status == OK && headers["content-type"].orEmpty().startsWith("text/event-stream")
    }

    override fun onPiece(bytes: ByteArray) {
        if (isStream) streamed.accept(bytes) else plain.write(bytes)
    }

    /** Judges a whole answer. */
    fun finish(answer: ApiAnswer): Result<Unit, CliError> {
        val body = plain.toString(Charsets.UTF_8)
        if (answer.status >= FIRST_ERROR_STATUS) {
            return Err(CliError.Refused(answer.copy(body = body).errorDetail()))
        }
        val completion = AnswerText.parse(body)
        // An answer that was not kept is told with status 200, since the request did run.
        if (completion != null &&
            "error" in completion
        ) {
            return Err(CliError.Refused(answer.copy(body = body).errorDetail()))
        }
        if (!isStream) show(completion?.let(AnswerText::textOf) ?: body)
        if (!isJson && hasText) context.out.println()
        streamed.error?.let { return Err(CliError.Refused(it)) }
        if (isStream && !streamed.isComplete) return Err(cut())
        report(answer.status)
        return Ok(Unit)
    }

    private fun show(text: String) {
        if (text.isEmpty()) return
        if (firstTextMs == null) firstTextMs = context.clock.nowMs() - startMs
        if (isJson) {
            collected.append(text)
        } else {
            context.out.print(text)
            context.out.flush()
        }
    }

    private fun report(status: Int) {
        val totalMs = context.clock.nowMs() - startMs
        if (!isJson) {
            return note(
                "answer complete; first text after ${firstTextMs ?: totalMs} ms, all after $totalMs ms",
            )
        }
        val fields =
            mapOf(
                "request_id" to JsonPrimitive(identifier),
                "status" to JsonPrimitive(status),
                "text" to JsonPrimitive(collected.toString()),
                "first_text_ms" to JsonPrimitive(firstTextMs),
                "total_ms" to JsonPrimitive(totalMs),
            )
        context.out.println(JsonObject(fields))
    }

    private fun cut() =
        CliError.UnknownOutcome("the answer ended early\nsend it again with --idempotency-key $identifier")

    private companion object {
        const val OK = 200
        const val FIRST_ERROR_STATUS = 300
    }
}
