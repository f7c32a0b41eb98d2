package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.core.OperationId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.DrainKind
import samphirechute.core.api.DrainReply
import samphirechute.core.api.DrainRequest

/** Takes a target out of service. */
internal open class DrainCommand : ServerCommand() {
    @Argument(index = 0, metaVar = "instance|upstream|domain", required = true, usage = "kind of the target")
    var kind: DrainKind? = null

    @Argument(index = 1, metaVar = "NAME", required = true, usage = "name of the target")
    var name = ""

    @Option(name = "--operation-id", metaVar = "ID", usage = "identifies the change when it is sent again")
    var operationId: String? = null

    override val summary = "take an instance, an upstream or a failure domain out of service"
    override val examples =
        listOf("drain domain sofia-a --server 127.0.0.1:7101", "drain upstream engine-3 --operation-id repair-9")

    protected open val isDrained = true

    override fun run(context: CliContext): Result<Unit, CliError> {
        val target = kind ?: return usage("the kind of the target is missing")
        val operation = OperationId(operationId ?: context.newIdentifier())
        val request = DrainRequest(operation, target, name, isDrained)
        return servers(context)
            .flatMap { it.change(ApiPaths.DRAINS, ApiJson.encodeToString(request)) }
            .mapError { withResendHint(it, operation) }
            .flatMap { decode<DrainReply>(it) }
            .map { context.out.println(if (isJson) ApiJson.encodeToString(it) else text(it)) }
    }

    private fun withResendHint(
        error: CliError,
        operation: OperationId,
    ) = if (error is CliError.UnknownOutcome) {
        CliError.UnknownOutcome("${error.message}\nsend it again with --operation-id $operation")
    } else {
        error
    }

    private fun text(reply: DrainReply): String {
        val state = if (isDrained) "out of service" else "in service"
        val reach = if (reply.isCommitted) "" else " where this instance's messages reach; no store leader was reached"
        return "${kind?.wireName} $name is $state$reach"
    }
}

/** Brings a target back into service. */
internal class UndrainCommand : DrainCommand() {
    override val summary = "bring a drained target back into service"
    override val examples = listOf("undrain domain sofia-a --server 127.0.0.1:7101")
    override val isDrained = false
}
