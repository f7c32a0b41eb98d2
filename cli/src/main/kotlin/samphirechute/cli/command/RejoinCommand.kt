package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.core.OperationId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.RejoinReply
import samphirechute.core.api.RejoinRequest

/** Adds the new disk of an instance to the store, in place of the one that was lost. */
internal class RejoinCommand : ServerCommand() {
    @Option(name = "--operation-id", metaVar = "ID", usage = "identifies the change when it is sent again")
    var operationId: String? = null

    override val summary = "add the new disk of the instance given by --server to the store"
    override val examples = listOf("rejoin --server 127.0.0.1:7301")

    override fun run(context: CliContext): Result<Unit, CliError> {
        val request = RejoinRequest(OperationId(operationId ?: context.newIdentifier()))
        return servers(context)
            .flatMap { it.change(ApiPaths.REJOIN, ApiJson.encodeToString(request)) }
            .flatMap { decode<RejoinReply>(it) }
            .map {
                context.out.println(
                    if (isJson) ApiJson.encodeToString(it) else "the disk is a member of the store",
                )
            }
    }
}
