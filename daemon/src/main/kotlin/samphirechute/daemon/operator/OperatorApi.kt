package samphirechute.daemon.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.DrainKind
import samphirechute.core.api.DrainReply
import samphirechute.core.api.DrainRequest
import samphirechute.core.api.InstancesView
import samphirechute.core.api.OrderKind
import samphirechute.core.api.OrderReply
import samphirechute.core.api.OrderRequest
import samphirechute.core.api.PublishOutcome
import samphirechute.core.api.PublishReply
import samphirechute.core.api.PublishRequest
import samphirechute.core.api.RejoinReply
import samphirechute.core.api.RejoinRequest
import samphirechute.core.api.ServicesView
import samphirechute.core.api.StatusView
import samphirechute.core.api.TimelineView
import samphirechute.core.api.UpstreamsView
import samphirechute.core.service.ServiceRules
import samphirechute.daemon.Runtime
import samphirechute.daemon.controller.DrainController
import samphirechute.daemon.controller.StoreClient
import samphirechute.daemon.controller.StoreController
import samphirechute.daemon.controller.StoreResult
import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.daemon.http.text
import samphirechute.net.Exchange
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.command.UpstreamOrder

/** Answers operators. Changes go to the store; views are those of this instance. */
internal class OperatorApi(
    private val runtime: Runtime,
    private val store: StoreClient,
    private val drains: DrainController,
    private val views: Views,
    private val localStore: StoreController?,
) {
    fun handle(exchange: Exchange) {
        val request = exchange.request
        when ("${request.method} ${request.path}") {
            "POST ${ApiPaths.PUBLISH}" -> read(exchange, PublishRequest.serializer()) { publish(exchange, it) }
            "POST ${ApiPaths.DRAINS}" -> read(exchange, DrainRequest.serializer()) { drain(exchange, it) }
            "POST ${ApiPaths.ORDERS}" -> read(exchange, OrderRequest.serializer()) { order(exchange, it) }
            "POST ${ApiPaths.REJOIN}" -> read(exchange, RejoinRequest.serializer()) { rejoin(exchange, it) }
            "GET ${ApiPaths.STATUS}" -> answer(exchange, StatusView.serializer(), views.status())
            "GET ${ApiPaths.SERVICES}" -> answer(exchange, ServicesView.serializer(), views.services())
            "GET ${ApiPaths.UPSTREAMS}" -> answer(exchange, UpstreamsView.serializer(), views.upstreams())
            "GET ${ApiPaths.INSTANCES}" -> answer(exchange, InstancesView.serializer(), views.instances())
            "GET ${ApiPaths.TIMELINE}" -> timeline(exchange)
            else -> exchange.refuse(RequestError.UnknownPath(request.path))
        }
    }

    private fun publish(
        exchange: Exchange,
        request: PublishRequest,
    ) {
        val problems = ServiceRules.problems(request.services)
        if (problems.isNotEmpty()) {
            val message = problems.joinToString("; ")
            val reply = PublishReply(PublishOutcome.REJECTED, views.status().revision, message = message)
            return answer(exchange, PublishReply.serializer(), reply)
        }
        val command = Command.PublishConfig(request.operationId, request.baseRevision, request.services)
        store.propose(command, CHANGE_TIMEOUT_MS) { result ->
            when (result) {
                is StoreResult.Committed -> publishReply(exchange, result.result)
                is StoreResult.Unavailable -> exchange.refuse(RequestError.Undecided(result.mayBeCommitted))
            }
        }
    }

    private fun publishReply(
        exchange: Exchange,
        result: CommandResult,
    ) {
        val revision = views.status().revision
        val reply =
            when (result) {
                is CommandResult.Published -> {
                    PublishReply(PublishOutcome.ACCEPTED, result.revision)
                }

                is CommandResult.Conflict -> {
                    PublishReply(PublishOutcome.CONFLICT, result.revision, result.winner)
                }

                is CommandResult.Rejected -> {
                    PublishReply(PublishOutcome.REJECTED, revision, message = "${result.code}: ${result.message}")
                }

                else -> {
                    PublishReply(PublishOutcome.REJECTED, revision, message = "unexpected result")
                }
            }
        runtime.ring.record("publish_decided", null, "outcome" to reply.outcome, "revision" to reply.revision)
        answer(exchange, PublishReply.serializer(), reply)
    }

    private fun drain(
        exchange: Exchange,
        request: DrainRequest,
    ) {
        drains.setDrain(request.operationId, request.target(), request.isDrained) { version ->
            if (version == null && !request.isDrained) {
                exchange.refuse(RequestError.Undecided(mayBeCommitted = true))
            } else {
                answer(exchange, DrainReply.serializer(), DrainReply(version != null, version))
            }
        }
    }

    private fun order(
        exchange: Exchange,
        request: OrderRequest,
    ) {
        val command = Command.IssueOrder(request.operationId, request.upstream, request.toOrder(), fencingNumber = 0)
        store.propose(command, CHANGE_TIMEOUT_MS) { result ->
            decided(exchange, result) {
                answer(exchange, OrderReply.serializer(), OrderReply(request.operationId))
            }
        }
    }

    private fun rejoin(
        exchange: Exchange,
        request: RejoinRequest,
    ) {
        val local = localStore ?: return exchange.refuse(RequestError.InvalidBody("this instance has no store"))
        val command = Command.AddMember(request.operationId, local.member())
        store.propose(command, REJOIN_TIMEOUT_MS, REJOIN_TIMEOUT_MS) { result ->
            decided(exchange, result) { answer(exchange, RejoinReply.serializer(), RejoinReply(isMember = true)) }
        }
    }

    /** Answers a change that was not taken with the reason; else calls [onDone]. */
    private fun decided(
        exchange: Exchange,
        result: StoreResult,
        onDone: () -> Unit,
    ) {
        when (result) {
            is StoreResult.Unavailable -> {
                exchange.refuse(RequestError.Undecided(result.mayBeCommitted))
            }

            is StoreResult.Committed -> {
                val rejected = result.result as? CommandResult.Rejected ?: return onDone()
                exchange.refuse(RequestError.InvalidBody("${rejected.code}: ${rejected.message}"))
            }
        }
    }

    private fun timeline(exchange: Exchange) {
        val requestId = exchange.request.query(ApiPaths.REQUEST_PARAMETER)?.let(::RequestId)
        answer(exchange, TimelineView.serializer(), TimelineView(runtime.self, runtime.ring.events(requestId)))
    }

    private fun <T> read(
        exchange: Exchange,
        serializer: KSerializer<T>,
        action: (T) -> Unit,
    ) {
        val message =
            try {
                ApiJson.decodeFromString(serializer, exchange.request.text())
            } catch (error: SerializationException) {
                return exchange.refuse(
                    RequestError.InvalidBody(
                        error.message
                            ?.lineSequence()
                            ?.first()
                            .orEmpty(),
                    ),
                )
            }
        action(message)
    }

    private fun <T> answer(
        exchange: Exchange,
        serializer: KSerializer<T>,
        view: T,
    ) = exchange.respondJson(OK, ApiJson.encodeToString(serializer, view))

    private companion object {
        const val OK = 200
        const val CHANGE_TIMEOUT_MS = 5_000L

        /** The new member catches up before it counts, for which the store allows 60 s. */
        const val REJOIN_TIMEOUT_MS = 65_000L
    }
}

private fun OrderRequest.toOrder() =
    when (kind) {
        OrderKind.LOAD_MODEL -> UpstreamOrder.LoadModel(name, version)
        OrderKind.LOAD_ADAPTER -> UpstreamOrder.LoadAdapter(name, version)
        OrderKind.CHANGE_ROLE -> UpstreamOrder.ChangeRole(name)
    }

private fun DrainRequest.target() =
    when (kind) {
        DrainKind.INSTANCE -> DrainTarget.Instance(InstanceId(name))
        DrainKind.UPSTREAM -> DrainTarget.Upstream(UpstreamId(name))
        DrainKind.DOMAIN -> DrainTarget.Domain(FailureDomain(name))
    }
