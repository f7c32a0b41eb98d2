package samphirechute.daemon.caller

import com.github.michaelbull.result.fold
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.api.ApiPaths
import samphirechute.core.service.ServiceMode
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.daemon.document.DocumentIntake
import samphirechute.daemon.document.DocumentRun
import samphirechute.daemon.http.refuse
import samphirechute.daemon.upstream.ApplicationProtocol
import samphirechute.daemon.upstream.EngineProtocol
import samphirechute.daemon.upstream.UpstreamProtocol
import samphirechute.net.Exchange
import samphirechute.routing.flow.FlowOutcome
import samphirechute.state.command.ClaimKey
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The API for callers: validates each request with the filter chain and runs it with a [RequestRunner]. Owns the
 * requests that are running on this instance. [samphirechute.daemon.http.DaemonApi] calls it for every path that is not
 * one of its own.
 */
internal class CallerApi(
    private val dependencies: RequestDependencies,
    notReadyReason: () -> String?,
    serviceInForce: (ServiceName) -> ServiceSpec?,
    private val documents: DocumentIntake,
) {
    private val filters =
        FilterChain(
            listOf(
                ReadinessFilter(notReadyReason),
                RouteFilter(),
                ServiceFilter(serviceInForce),
                IdentityFilter(),
                DeadlineFilter(),
                EstimateFilter(),
            ),
        )
    private val running = HashSet<RequestRunner>()
    private val repeatableIds = HashSet<RequestId>()
    private var resendCount = 0L

    /** The number of callers' requests that have not ended. */
    val runningRequests: Int get() = running.size

    fun handle(exchange: Exchange) {
        val path = exchange.request.path
        val isFetch = exchange.request.method == "GET" && path.startsWith(ApiPaths.DOCUMENTS_PREFIX)
        if (isFetch) return documents.fetch(exchange, path.removePrefix(ApiPaths.DOCUMENTS_PREFIX))
        filters.apply(RequestDraft(exchange.request)).fold(
            { dispatch(exchange, it) },
            { error ->
                dependencies.metrics.refused(error.code)
                exchange.refuse(error)
            },
        )
    }

    /** Runs the request of a document that was assigned to this instance. */
    fun runDocument(
        draft: RequestDraft,
        writer: AnswerWriter,
        onFinished: (FlowOutcome) -> Unit,
    ): DocumentRun {
        val runner = RequestRunner(dependencies, draft, protocol(draft), writer, claim = null, onFinished = onFinished)
        runner.start()
        return DocumentRun(runner::callerGone)
    }

    private fun dispatch(
        exchange: Exchange,
        draft: RequestDraft,
    ) {
        val isDocument = draft.service.mode == ServiceMode.DOCUMENT && draft.form is AnswerFormat.Completion
        if (isDocument) documents.accept(exchange, draft) else run(exchange, draft)
    }

    private fun run(
        exchange: Exchange,
        original: RequestDraft,
    ) {
        val draft = withUniqueId(original)
        val claim = claim(draft)
        // The filters have read the prompt of a completion; only requests to applications still need the body.
        if (draft.form is AnswerFormat.Completion) exchange.request.dropBody()
        lateinit var runner: RequestRunner
        runner =
            RequestRunner(dependencies, draft, protocol(draft), writer(exchange, draft), claim) {
                unregister(runner, draft)
            }
        running += runner
        if (!draft.isNonRepeatable) repeatableIds += draft.requestId
        exchange.onAborted = runner::callerGone
        runner.start()
    }

    private fun unregister(
        runner: RequestRunner,
        draft: RequestDraft,
    ) {
        running -= runner
        if (!draft.isNonRepeatable) repeatableIds -= draft.requestId
    }

    /**
     * Gives a repeatable request that is resent while its first submission still runs here an identifier of its own.
     * Both run side by side, and grants and answers are matched by request identifier. Resends of non-repeatable
     * requests are detected by their claims instead.
     */
    private fun withUniqueId(draft: RequestDraft): RequestDraft {
        if (draft.isNonRepeatable || draft.requestId !in repeatableIds) return draft
        return draft.copy(requestId = RequestId("${draft.requestId}~${++resendCount}"))
    }

    private fun claim(draft: RequestDraft) =
        if (!draft.isNonRepeatable) {
            null
        } else {
            val spec = draft.service
            dependencies.claims.claim(ClaimKey(spec.team, spec.name, draft.requestId), requestDigest(draft))
        }

    /** Identifies a resend, which has the same method, path and body. */
    private fun requestDigest(draft: RequestDraft): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${draft.source.method} ${draft.uri}\n".encodeToByteArray())
        return HexFormat.of().formatHex(digest.digest(draft.source.body))
    }

    private fun protocol(draft: RequestDraft): UpstreamProtocol {
        val client = dependencies.runtime.client
        return when (val target = draft.service.target) {
            is ServiceTarget.Model -> {
                EngineProtocol(
                    client,
                    target.pool.value,
                    draft.prompt,
                    draft.promptTokens,
                    draft.maxTokens,
                )
            }

            is ServiceTarget.Application -> {
                ApplicationProtocol(client, draft.source, draft.uri)
            }
        }
    }

    private fun writer(
        exchange: Exchange,
        draft: RequestDraft,
    ): AnswerWriter =
        when (val form = draft.form) {
            is AnswerFormat.PassThrough -> {
                PassThroughWriter(exchange)
            }

            is AnswerFormat.Completion -> {
                val createdSeconds = System.currentTimeMillis() / MS_PER_SECOND
                val completionJson = CompletionJson(draft.requestId.value, form.model, form.isChat, createdSeconds)
                if (form.isStream) {
                    CompletionStreamWriter(exchange, completionJson)
                } else {
                    CompletionJsonWriter(exchange, completionJson, draft.promptTokens)
                }
            }
        }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
