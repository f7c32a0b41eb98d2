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

/** Answers callers: passes a request through the filter chain, and runs it. */
internal class CallerApi(
    private val parts: RequestParts,
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
    private var lastResend = 0L

    /** Requests that have not got their final answer. */
    val runningRequests: Int get() = running.size

    fun handle(exchange: Exchange) {
        val path = exchange.request.path
        val isFetch = exchange.request.method == "GET" && path.startsWith(ApiPaths.DOCUMENTS_PREFIX)
        if (isFetch) return documents.fetch(exchange, path.removePrefix(ApiPaths.DOCUMENTS_PREFIX))
        filters.apply(RequestDraft(exchange.request)).fold(
            { admit(exchange, it) },
            { error ->
                parts.metrics.refused(error.code)
                exchange.refuse(error)
            },
        )
    }

    /** Runs the request of a document for the instance that was assigned it. */
    fun runDocument(
        draft: RequestDraft,
        writer: AnswerWriter,
        onFinished: (FlowOutcome) -> Unit,
    ): DocumentRun {
        val runner = RequestRunner(parts, draft, protocol(draft), writer, claim = null, onFinished = onFinished)
        runner.start()
        return DocumentRun(runner::callerGone)
    }

    private fun admit(
        exchange: Exchange,
        draft: RequestDraft,
    ) {
        val isDocument = draft.service.mode == ServiceMode.DOCUMENT && draft.form is AnswerForm.Completion
        if (isDocument) documents.accept(exchange, draft) else run(exchange, draft)
    }

    private fun run(
        exchange: Exchange,
        given: RequestDraft,
    ) {
        val draft = distinct(given)
        val claim = claim(draft)
        // The prompt has been read from the body; only an application still needs it.
        if (draft.form is AnswerForm.Completion) exchange.request.dropBody()
        lateinit var runner: RequestRunner
        runner = RequestRunner(parts, draft, protocol(draft), writer(exchange, draft), claim) { ended(runner, draft) }
        running += runner
        if (!draft.isNonRepeatable) repeatableIds += draft.requestId
        exchange.onAborted = runner::callerGone
        runner.start()
    }

    private fun ended(
        runner: RequestRunner,
        draft: RequestDraft,
    ) {
        running -= runner
        if (!draft.isNonRepeatable) repeatableIds -= draft.requestId
    }

    /**
     * A repeatable request that is sent again while its first submission runs here runs beside it under a name of its
     * own: grants and answers are told apart by request identifier. Others are told apart by their claims.
     */
    private fun distinct(draft: RequestDraft): RequestDraft {
        if (draft.isNonRepeatable || draft.requestId !in repeatableIds) return draft
        return draft.copy(requestId = RequestId("${draft.requestId}~${++lastResend}"))
    }

    private fun claim(draft: RequestDraft) =
        if (!draft.isNonRepeatable) {
            null
        } else {
            val spec = draft.service
            parts.claims.claim(ClaimKey(spec.team, spec.name, draft.requestId), digest(draft))
        }

    /** A resend has the same method, path and body. */
    private fun digest(draft: RequestDraft): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${draft.source.method} ${draft.uri}\n".encodeToByteArray())
        return HexFormat.of().formatHex(digest.digest(draft.source.body))
    }

    private fun protocol(draft: RequestDraft): UpstreamProtocol {
        val client = parts.runtime.client
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
            is AnswerForm.PassThrough -> {
                PassThroughWriter(exchange)
            }

            is AnswerForm.Completion -> {
                val createdSeconds = System.currentTimeMillis() / MS_PER_SECOND
                val chunks = CompletionChunks(draft.requestId.value, form.model, form.isChat, createdSeconds)
                if (form.isStream) StreamWriter(exchange, chunks) else WholeWriter(exchange, chunks, draft.promptTokens)
            }
        }

    private companion object {
        const val MS_PER_SECOND = 1_000
    }
}
