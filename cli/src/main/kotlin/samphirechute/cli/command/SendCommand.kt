package samphirechute.cli.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.http.ApiCall
import samphirechute.cli.output.AnswerPrinter
import samphirechute.core.HostPort
import samphirechute.core.api.ApiHeaders
import samphirechute.core.api.ApiPaths
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Sends one request as a caller does and prints the answer as it arrives. Each request carries an identifier, so that
 * sending it again through another server is safe, for requests that are never repeated as well.
 */
internal class SendCommand : ServerCommand() {
    @Argument(index = 0, metaVar = "TEXT", usage = "prompt or body; default: --file or standard input")
    var text: String? = null

    @Option(name = "--service", metaVar = "NAME", required = true, usage = "service to ask")
    var service = ""

    @Option(name = "--file", metaVar = "FILE", usage = "file with the prompt or body")
    var file: String? = null

    @Option(name = "--path", metaVar = "PATH", usage = "path at an application; without it a prompt is sent")
    var path: String? = null

    @Option(name = "--method", metaVar = "METHOD", usage = "method at an application; default: POST")
    var method = "POST"

    @Option(name = "--max-tokens", metaVar = "N", usage = "longest answer to a prompt; default: 256")
    var maxTokens = 256

    @Option(name = "--idempotency-key", metaVar = "ID", usage = "identifies the request when it is sent again")
    var idempotencyKey: String? = null

    @Option(name = "--deadline-ms", metaVar = "MS", usage = "time for the whole answer; default: that of the service")
    var deadlineMs: Long? = null

    override val summary = "send a prompt or a request to a service and print the answer"
    override val examples =
        listOf(
            "send --server 127.0.0.1:7101 --service draft-reply \"A jar lid does not close.\"",
            "send --service season-review --file catalogue.txt --deadline-ms 60000",
            "send --service pallet-order --path /pallets --idempotency-key order-17 '{\"pallets\":2}'",
        )

    override fun run(context: CliContext): Result<Unit, CliError> {
        val body = body(context) ?: return usage("the file $file cannot be read")
        return addresses(context).flatMap { send(it, body, context) }
    }

    private fun send(
        addresses: List<HostPort>,
        body: String,
        context: CliContext,
    ): Result<Unit, CliError> {
        val identifier = idempotencyKey ?: context.newIdentifier()
        val isPrompt = path == null
        val content = if (isPrompt) completion(body) else body
        val target = path?.let { ApiPaths.SERVICES_PREFIX + service + "/" + it.removePrefix("/") }
        val printer = AnswerPrinter(context, identifier, isJson)
        val failures = mutableListOf<String>()
        var mayHaveArrived = false
        for (address in addresses) {
            printer.note("sending ${content.length} characters to $address as request $identifier")
            val call =
                ApiCall(
                    address,
                    if (isPrompt) "POST" else method,
                    target ?: ApiPaths.COMPLETIONS,
                    headers(identifier),
                    content,
                    (deadlineMs ?: timeoutMs) + DEADLINE_MARGIN_MS,
                )
            val failure = context.gateway.stream(call, printer).fold({ return printer.finish(it) }, { it })
            mayHaveArrived = mayHaveArrived || failure.mayHaveArrived
            failures += "$address: ${failure.message}"
            printer.note(failures.last())
            // What is on the screen cannot be taken back, and the answer of another attempt would begin again.
            if (printer.hasText) break
        }
        val detail = failures.joinToString("; ")
        if (!mayHaveArrived) return Err(CliError.Unreachable(detail))
        return Err(CliError.UnknownOutcome("$detail\nsend it again with --idempotency-key $identifier"))
    }

    private fun headers(identifier: String) =
        buildMap {
            put(ApiHeaders.IDEMPOTENCY_KEY, identifier)
            put(ApiHeaders.SERVICE, service)
            deadlineMs?.let { put(ApiHeaders.DEADLINE_MS, "$it") }
        }

    private fun completion(prompt: String): String {
        val fields =
            mapOf(
                "prompt" to JsonPrimitive(prompt),
                "max_tokens" to JsonPrimitive(maxTokens),
                "stream" to JsonPrimitive(true),
            )
        return JsonObject(fields).toString()
    }

    private fun body(context: CliContext): String? {
        text?.let { return it }
        return try {
            file?.let { Files.readString(Path.of(it)) } ?: context.input.readBytes().decodeToString()
        } catch (e: IOException) {
            null
        }
    }

    private companion object {
        /** The daemon gives its final answer by the deadline; the margin is for its way here. */
        const val DEADLINE_MARGIN_MS = 2_000L
    }
}
