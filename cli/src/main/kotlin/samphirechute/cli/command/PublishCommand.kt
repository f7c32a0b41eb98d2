package samphirechute.cli.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.http.Servers
import samphirechute.core.OperationId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.InstanceState
import samphirechute.core.api.PublishOutcome
import samphirechute.core.api.PublishReply
import samphirechute.core.api.PublishRequest
import samphirechute.core.api.StatusView
import samphirechute.core.service.ServiceFileReader
import samphirechute.core.service.ServiceSpec
import java.nio.file.Path

/** Replaces the services in force by those of the given folders. */
internal class PublishCommand : ServerCommand() {
    @Argument(index = 0, metaVar = "DIR...", required = true, usage = "folders with all service files")
    var folders: MutableList<String> = mutableListOf()

    @Option(name = "--base", metaVar = "N", usage = "revision that the set replaces; default: the one in force")
    var base: Long? = null

    @Option(name = "--operation-id", metaVar = "ID", usage = "identifies the change when it is sent again")
    var operationId: String? = null

    @Option(name = "--wait", usage = "wait until all instances that are not dead have the revision")
    var isWaiting = false

    override val summary = "replace the services in force by those of the folders"
    override val examples =
        listOf(
            "publish --server 127.0.0.1:7101,127.0.0.1:7201 --wait examples/kavarna examples/rayhana",
            "publish --server 127.0.0.1:7101 --base 3 --operation-id change-17 --key-file operator.key services",
        )

    override fun run(context: CliContext): Result<Unit, CliError> =
        ServiceFileReader
            .readFolders(folders.map(Path::of))
            .mapError { CliError.WrongFiles(it) }
            .flatMap { services -> servers(context).flatMap { publish(it, services, context) } }

    private fun publish(
        servers: Servers,
        services: List<ServiceSpec>,
        context: CliContext,
    ): Result<Unit, CliError> {
        val operation = OperationId(operationId ?: context.newIdentifier())
        return base(servers).flatMap { base ->
            note(context, "publishing ${services.size} services on revision $base as operation $operation")
            servers
                .change(ApiPaths.PUBLISH, ApiJson.encodeToString(PublishRequest(operation, base, services)))
                .mapError { withResendHint(it, base, operation) }
                .flatMap { decode<PublishReply>(it) }
                .flatMap { judge(it, base, operation) }
                .flatMap { reply -> if (isWaiting) awaitInForce(reply, context) else Ok(reply) }
                .map {
                    context.out.println(
                        if (isJson) ApiJson.encodeToString(it) else "revision ${it.revision} accepted",
                    )
                }
        }
    }

    private fun base(servers: Servers): Result<Long, CliError> =
        base?.let { Ok(it) } ?: servers.get(ApiPaths.STATUS).flatMap { decode<StatusView>(it) }.map { it.revision }

    private fun withResendHint(
        error: CliError,
        base: Long,
        operation: OperationId,
    ) = if (error is CliError.UnknownOutcome) {
        CliError.UnknownOutcome("${error.message}\nsend it again with --base $base --operation-id $operation")
    } else {
        error
    }

    private fun judge(
        reply: PublishReply,
        base: Long,
        operation: OperationId,
    ): Result<PublishReply, CliError> =
        when (reply.outcome) {
            PublishOutcome.ACCEPTED -> {
                Ok(reply)
            }

            PublishOutcome.REJECTED -> {
                Err(CliError.Failed("the set was rejected: ${reply.message}"))
            }

            PublishOutcome.CONFLICT -> {
                if (reply.winner == operation) {
                    Ok(reply.copy(outcome = PublishOutcome.ACCEPTED))
                } else {
                    val winner = reply.winner?.let { " by operation $it" }.orEmpty()
                    Err(CliError.Conflict("revision ${reply.revision} was published$winner; your base was $base"))
                }
            }
        }

    private fun awaitInForce(
        reply: PublishReply,
        context: CliContext,
    ): Result<PublishReply, CliError> {
        val deadlineMs = context.clock.nowMs() + timeoutMs
        var shown = ""
        while (true) {
            val revisions = revisions(context)
            val done = revisions.count { it >= reply.revision }
            if (revisions.isNotEmpty() && done == revisions.size) return Ok(reply)
            val progress = "revision ${reply.revision} is in force at $done of ${revisions.size} instances"
            if (progress != shown) note(context, progress)
            shown = progress
            if (context.clock.nowMs() >= deadlineMs) return Err(CliError.Failed("accepted, but $progress"))
            context.sleep(POLL_MS)
        }
    }

    /** An instance that is known to be dead learns the revision when it starts again. */
    private fun revisions(context: CliContext): List<Long> =
        fleet(context)
            .flatMap { it.instances() }
            .map { all -> all.filter { it.state != InstanceState.DEAD }.map { it.revision } }
            .getOrElse { emptyList() }

    private fun note(
        context: CliContext,
        text: String,
    ) {
        if (!isJson) context.err.println(text)
    }

    private companion object {
        const val POLL_MS = 200L
    }
}
