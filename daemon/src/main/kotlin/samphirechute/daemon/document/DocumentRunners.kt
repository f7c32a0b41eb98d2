package samphirechute.daemon.document

import io.netty.handler.codec.http.DefaultHttpHeaders
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RunState
import samphirechute.core.ServiceName
import samphirechute.core.service.ServiceSpec
import samphirechute.daemon.Runtime
import samphirechute.daemon.caller.AnswerFormat
import samphirechute.daemon.caller.AnswerWriter
import samphirechute.daemon.caller.EstimateFilter
import samphirechute.daemon.caller.RequestDraft
import samphirechute.daemon.controller.StoreClient
import samphirechute.daemon.controller.StoreResult
import samphirechute.daemon.http.RequestError
import samphirechute.net.ServerRequest
import samphirechute.net.peer.PeerJson
import samphirechute.routing.flow.FlowOutcome
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.document.RunnerInput
import samphirechute.state.document.RunnerLeases
import samphirechute.state.document.RunnerOutput
import com.github.michaelbull.result.get as valueOrNull

/** Runs the documents that the store leader assigned to this instance, and keeps their leases renewed. */
internal class DocumentRunners(
    private val runtime: Runtime,
    private val store: StoreClient,
    private val blobs: BlobClient,
    private val serviceInForce: (ServiceName) -> ServiceSpec?,
    private val startRequest: (RequestDraft, AnswerWriter, (FlowOutcome) -> Unit) -> DocumentRun,
) {
    private val leases = RunnerLeases(runtime.claimant)
    private val assigned = HashMap<String, RunMessage>()
    private val running = HashMap<String, Run>()

    /** Documents that this instance has not finished. */
    val runningDocuments: Int get() = running.size

    fun start() {
        runtime.timer.every(TICK_MS) { feed(RunnerInput.Ticked) }
    }

    fun assigned(message: RunMessage) {
        if (message.runner != runtime.claimant) return
        assigned[message.record.id] = message
        feed(RunnerInput.Assigned(message.record.id, message.runner))
    }

    private fun feed(input: RunnerInput) = leases.handle(input, runtime.nowMs).forEach(::execute)

    private fun execute(output: RunnerOutput) {
        when (output) {
            is RunnerOutput.Start -> assigned[output.id]?.let { running[output.id] = Run(it).also(Run::start) }
            is RunnerOutput.Stop -> stop(output.id)
            is RunnerOutput.Renew -> renew(output.command)
        }
    }

    private fun stop(id: String) {
        assigned -= id
        running.remove(id)?.stop()
    }

    private fun renew(command: Command.AssignDocument) {
        store.propose(command, RENEW_TIMEOUT_MS) { result ->
            val committed = result as? StoreResult.Committed ?: return@propose
            val isHeld = committed.result !is CommandResult.Rejected
            feed(if (isHeld) RunnerInput.Assigned(command.id, command.runner) else RunnerInput.Finished(command.id))
        }
    }

    /** One document on its way; a try that ended without an answer is followed by another while there is time. */
    private inner class Run(
        private val message: RunMessage,
    ) {
        private val record = message.record
        private val untilMs = runtime.nowMs + message.remainingMs
        private var request: DocumentRun? = null
        private var isStopped = false
        private var tries = 0

        fun start() {
            runtime.ring.record("document_started", record.requestId, "document" to record.id)
            blobs.get(record.bodyDigest, record.holders) { bytes ->
                if (isStopped) return@get
                if (bytes == null) return@get later(BLOB_RETRY_MS) { start() }
                run(PeerJson.decodeFromString(DocumentPrompt.serializer(), bytes.decodeToString()))
            }
        }

        fun stop() {
            isStopped = true
            request?.cancel()
        }

        private fun run(prompt: DocumentPrompt) {
            val spec = serviceInForce(record.service) ?: return finish(null, emptyList(), "service_withdrawn")
            val collector = DocumentCollector()
            val draft = draft(prompt, spec) ?: return finish(null, emptyList(), "invalid_document")
            tries++
            request = startRequest(draft, collector) { outcome -> ended(prompt, draft, collector, outcome) }
        }

        /** Each try has a request id of its own, so that an answer to an earlier one cannot be taken for it. */
        private fun draft(
            prompt: DocumentPrompt,
            spec: ServiceSpec,
        ): RequestDraft? {
            val source = ServerRequest("POST", "/v1/documents/${record.id}", DefaultHttpHeaders(), ByteArray(0))
            val draft =
                RequestDraft(
                    source = source,
                    form = AnswerFormat.Completion(prompt.isChat, isStream = false, prompt.model),
                    spec = spec,
                    prompt = prompt.prompt,
                    maxTokens = prompt.maxTokens,
                    requestId = RequestId("${record.id}-${runtime.incarnation}-$tries"),
                    deadlineMs = untilMs - runtime.nowMs,
                )
            return EstimateFilter().apply(draft).valueOrNull()
        }

        private fun ended(
            prompt: DocumentPrompt,
            draft: RequestDraft,
            collector: DocumentCollector,
            outcome: FlowOutcome,
        ) {
            if (isStopped) return
            if (outcome.code == null && outcome.runState == RunState.RAN) return keep(prompt, draft, collector)
            if (runtime.nowMs >= untilMs) return finish(null, emptyList(), "deadline_exceeded")
            later(outcome.retryAfterMs ?: REQUEST_RETRY_MS) { run(prompt) }
        }

        private fun keep(
            prompt: DocumentPrompt,
            draft: RequestDraft,
            collector: DocumentCollector,
        ) {
            val answer =
                DocumentAnswer(prompt.model, prompt.isChat, collector.text(), draft.promptTokens, collector.tokens)
            val bytes = PeerJson.encodeToString(DocumentAnswer.serializer(), answer).encodeToByteArray()
            blobs.put(bytes) { digest, holders ->
                when {
                    isStopped -> Unit
                    holders == null -> later(BLOB_RETRY_MS) { keep(prompt, draft, collector) }
                    else -> finish(digest, holders, null)
                }
            }
        }

        private fun finish(
            answerDigest: String?,
            holders: List<InstanceId>,
            errorCode: String?,
        ) {
            val command = Command.FinishDocument(record.id, message.runner, answerDigest, holders, errorCode)
            store.propose(command, FINISH_TIMEOUT_MS) { result ->
                if (isStopped) return@propose
                if (result !is StoreResult.Committed) return@propose finish(answerDigest, holders, errorCode)
                runtime.ring.record(
                    "document_finished",
                    record.requestId,
                    "document" to record.id,
                    "code" to (errorCode ?: "ok"),
                )
                feed(RunnerInput.Finished(record.id))
            }
        }

        private fun later(
            delayMs: Long,
            action: () -> Unit,
        ) {
            runtime.timer.after(delayMs) { if (!isStopped) action() }
        }
    }

    private companion object {
        const val TICK_MS = 500L
        const val RENEW_TIMEOUT_MS = 4_000L
        const val FINISH_TIMEOUT_MS = 10_000L
        const val BLOB_RETRY_MS = 1_000L
        const val REQUEST_RETRY_MS = 1_000L
    }
}

/** The request of a document that is being run. */
internal fun interface DocumentRun {
    fun cancel()
}

/** Collects the answer of a document. */
internal class DocumentCollector : AnswerWriter {
    private val text = StringBuilder()
    var tokens = 0L
        private set
    override val isWritable = true
    override var onWritable: () -> Unit = {}

    fun text() = text.toString()

    override fun deliver(
        offset: Long,
        texts: List<String>,
    ) {
        texts.forEach(text::append)
        tokens += texts.size
    }

    override fun complete() = Unit

    override fun fail(error: RequestError) = Unit
}
