package samphirechute.cli.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.core.OperationId
import samphirechute.core.UpstreamId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.OrderKind
import samphirechute.core.api.OrderReply
import samphirechute.core.api.OrderRequest

/** Orders an engine to load something, or to change its role. */
internal class OrderCommand : ServerCommand() {
    @Argument(index = 0, metaVar = "UPSTREAM", required = true, usage = "the engine")
    var upstream = ""

    @Argument(index = 1, metaVar = "load_model|load_adapter|change_role", required = true, usage = "what it is to do")
    var kind: OrderKind? = null

    @Argument(index = 2, metaVar = "NAME", required = true, usage = "name of the model, the adapter or the role")
    var name = ""

    @Option(name = "--version", metaVar = "VERSION", usage = "version to load")
    var version = ""

    @Option(name = "--operation-id", metaVar = "ID", usage = "identifies the order when it is sent again")
    var operationId: String? = null

    override val summary = "order an engine to load a model or an adapter, or to change its role"
    override val examples = listOf("order engine-3 load_model kavarna-draft --version 7 --server 127.0.0.1:7101")

    override fun run(context: CliContext): Result<Unit, CliError> {
        val order = kind ?: return usage("the kind of the order is missing")
        val operation = OperationId(operationId ?: context.newIdentifier())
        val request = OrderRequest(operation, UpstreamId(upstream), order, name, version)
        return servers(context)
            .flatMap { it.change(ApiPaths.ORDERS, ApiJson.encodeToString(request)) }
            .flatMap { decode<OrderReply>(it) }
            .map {
                context.out.println(
                    if (isJson) ApiJson.encodeToString(it) else "order ${it.operationId} is committed",
                )
            }
    }
}
