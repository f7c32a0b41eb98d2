package samphirechute.daemon.document

import samphirechute.core.ServiceName
import samphirechute.daemon.Runtime
import samphirechute.daemon.caller.AnswerFormat
import samphirechute.daemon.caller.CompletionJson
import samphirechute.daemon.caller.RequestDraft
import samphirechute.daemon.controller.StoreClient
import samphirechute.daemon.controller.StoreResult
import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.net.Exchange
import samphirechute.net.peer.PeerJson
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.store.DocumentRecord

/** Accepts documents once they are durable, and hands out their answers. */
internal class DocumentIntake(
    private val runtime: Runtime,
    private val store: StoreClient,
    private val blobs: BlobClient,
    private val finder: DocumentFinder,
) {
    /** Answers 202 once the prompt is on two disks and the record is committed; else refuses as not run. */
    fun accept(
        exchange: Exchange,
        draft: RequestDraft,
    ) {
        val form = draft.form as AnswerFormat.Completion
        val prompt = DocumentPrompt(form.model, form.isChat, draft.prompt, draft.maxTokens)
        val bytes = PeerJson.encodeToString(DocumentPrompt.serializer(), prompt).encodeToByteArray()
        val deadlineMs = System.currentTimeMillis() + minOf(draft.deadlineMs, MAX_DEADLINE_MS)
        blobs.put(bytes) { digest, holders ->
            if (holders == null) return@put exchange.refuse(NOT_DURABLE)
            val id = idOf(draft.service.name, draft)
            val command =
                Command.AcceptDocument(id, draft.service.name, draft.requestId, digest, holders, deadlineMs)
            store.propose(command, ACCEPT_TIMEOUT_MS) { accepted(exchange, draft, id, it) }
        }
    }

    /** Answers with the document when it is finished, and with 202 until then. */
    fun fetch(
        exchange: Exchange,
        id: String,
    ) = finder.find(id) { record ->
        when {
            record == null -> {
                exchange.refuse(RequestError.UnknownDocument(id))
            }

            record.finishedMs == null -> {
                exchange.respondJson(ACCEPTED, view(record))
            }

            record.answerDigest == null -> {
                exchange.refuse(
                    RequestError.DocumentFailed(id, record.errorCode ?: "failed"),
                )
            }

            else -> {
                answer(exchange, record)
            }
        }
    }

    private fun accepted(
        exchange: Exchange,
        draft: RequestDraft,
        id: String,
        result: StoreResult,
    ) {
        val committed =
            when (result) {
                is StoreResult.Committed -> result

                is StoreResult.Unavailable if result.mayBeCommitted -> return exchange.refuse(
                    RequestError.Undecided(true),
                )

                is StoreResult.Unavailable -> return exchange.refuse(NOT_DURABLE)
            }
        val rejected = committed.result as? CommandResult.Rejected
        if (rejected != null) return exchange.refuse(RequestError.DocumentRejected(rejected.code, rejected.message))
        runtime.ring.record(
            "document_accepted",
            draft.requestId,
            "document" to id,
            "prompt_tokens" to draft.promptTokens,
        )
        val view = DocumentView(id, "accepted", draft.service.name)
        val body = PeerJson.encodeToString(DocumentView.serializer(), view)
        exchange.respondJson(ACCEPTED, body, mapOf("Location" to "/v1/documents/$id"))
    }

    private fun answer(
        exchange: Exchange,
        record: DocumentRecord,
    ) {
        blobs.get(checkNotNull(record.answerDigest), record.answerHolders) { bytes ->
            if (bytes ==
                null
            ) {
                return@get exchange.refuse(RequestError.Unavailable("the answer's disks cannot be reached"))
            }
            val answer = PeerJson.decodeFromString(DocumentAnswer.serializer(), bytes.decodeToString())
            val createdSeconds = (record.finishedMs ?: 0) / MS_PER_SECOND
            val chunks = CompletionJson(record.id, answer.model, answer.isChat, createdSeconds)
            val usage = CompletionJson.Usage(answer.promptTokens, answer.completionTokens)
            exchange.respondJson(OK, chunks.wholeAnswer(answer.text, usage))
        }
    }

    private fun view(record: DocumentRecord): String {
        val status = if (record.runner == null) "accepted" else "running"
        val view = DocumentView(record.id, status, record.service, record.runner?.instance)
        return PeerJson.encodeToString(DocumentView.serializer(), view)
    }

    /** A resend of the same request names the same document. */
    private fun idOf(
        service: ServiceName,
        draft: RequestDraft,
    ): String {
        val name = "${draft.service.team}/$service/${draft.requestId}"
        return "doc-" + BlobStore.digestOf(name.encodeToByteArray()).take(ID_CHARS)
    }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val MS_PER_SECOND = 1_000
        const val ID_CHARS = 32

        /** The blobs of a document are kept for three days, which covers this and the day its answer is kept. */
        const val MAX_DEADLINE_MS = 24 * 3_600_000L
        const val ACCEPT_TIMEOUT_MS = 5_000L
        val NOT_DURABLE =
            RequestError.Unavailable(
                "the document could not be made durable; it will not run unless it is sent again",
            )
    }
}
