package samphirechute.daemon.upstream

import io.netty.buffer.ByteBuf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToStream
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.engine.CancelBody
import samphirechute.core.engine.GenerateBody
import samphirechute.core.engine.RefusalBody
import samphirechute.core.engine.TokenLine
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.HttpClient
import samphirechute.net.ResponseListener
import samphirechute.routing.Grant
import samphirechute.routing.flow.AttemptFailure
import java.io.ByteArrayOutputStream

/**
 * The HTTP protocol of model engines: one JSON line for each token. Only the lines and the body of a refusal name the
 * request, so each request has a connection of its own: on one that was used before, the late copy of an earlier answer
 * could not be skipped by its head, and a request that is sent again bears the name of its first sending.
 */
internal class EngineProtocol(
    private val client: HttpClient,
    private val model: String,
    private val prompt: String,
    private val promptTokens: Long,
    private val maxTokens: Long,
) : UpstreamProtocol {
    override fun start(
        work: UpstreamWork,
        listener: AttemptListener,
    ): UpstreamAttempt {
        if (work.grant.parts.size == 1) return startPrimary(work, listener)
        val memory = GangMemory(client, work.grant, work.requestId)
        return GangAttempt(memory, work.requestId.value, listener) { startPrimary(work, it) }.also { it.start() }
    }

    private fun startPrimary(
        work: UpstreamWork,
        listener: AttemptListener,
    ): UpstreamAttempt {
        val request =
            ClientRequest(
                work.grant.primary.address,
                "POST",
                "/v1/generate",
                encode(body(work)),
                useFreshConnection = true,
                closesConnection = true,
            )
        return EngineAttempt(listener).also { it.call = client.send(request, it) }
    }

    override fun cancel(
        grant: Grant,
        requestId: RequestId,
        attempt: Int?,
    ) {
        grant.parts.forEach { cancelAt(client, it.address, requestId, attempt) }
    }

    /** Writes UTF-8 directly: a string in between takes several times the memory of a long prompt. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(body: GenerateBody): ByteArray {
        val bytes = ByteArrayOutputStream(prompt.length + HEAD_BYTES)
        json.encodeToStream(GenerateBody.serializer(), body, bytes)
        return bytes.toByteArray()
    }

    private fun body(work: UpstreamWork) =
        GenerateBody(
            requestId = work.requestId,
            attempt = work.attempt,
            model = model,
            prompt = prompt,
            promptTokens = promptTokens,
            maxTokens = maxTokens,
            resumeOffset = work.resumeOffset,
            priority = work.grant.priority,
            deadlineMs = work.remainingMs,
            lenders =
                work.grant.parts
                    .drop(1)
                    .map { it.address.toString() },
            memoryTokens =
                work.grant.primary.memoryTokens
                    .takeIf { work.grant.parts.size > 1 },
        )

    private class EngineAttempt(
        private val listener: AttemptListener,
    ) : ResponseListener,
        UpstreamAttempt {
        var call: ClientCall? = null
        private val lines = LineSplitter(MAX_LINE_BYTES)
        private val refusal = ByteArrayOutputStream()
        private val batch = TokenBatch(listener)
        private var status = 0
        private var isDone = false

        override fun onSending() = listener.onSending()

        override fun onHead(
            status: Int,
            headers: Map<String, String>,
        ) {
            this.status = status
            if (status == OK) listener.onHead(status, headers["content-type"].orEmpty())
        }

        override fun onBody(piece: ByteBuf) {
            if (isDone) return
            if (status != OK) {
                piece.readBytes(refusal, minOf(piece.readableBytes(), MAX_LINE_BYTES - refusal.size()))
                return
            }
            val isWithinBounds = lines.feed(piece) { if (!isDone) line(it) }
            if (!isDone) batch.flush()
            if (!isWithinBounds) garbage()
        }

        override fun onEnd() {
            if (isDone) return
            isDone = true
            if (status == OK) return listener.onFailure(AttemptFailure.CLOSED)
            listener.onFailure(refusal(status), refusedRequest(refusal.toString(Charsets.UTF_8)))
        }

        override fun onFailure(failure: ClientFailure) {
            if (isDone) return
            isDone = true
            listener.onFailure(failure.toAttemptFailure())
        }

        override fun cancel() {
            isDone = true
            call?.cancel()
        }

        override fun setReading(isReading: Boolean) {
            call?.setReading(isReading)
        }

        private fun line(text: String) {
            val line = parse(text) ?: return garbage()
            if (!line.done) return batch.add(line)
            batch.flush()
            isDone = true
            listener.onEnd(line.requestId, line.totalTokens, line.cachedTokens)
        }

        private fun parse(text: String): TokenLine? =
            try {
                json.decodeFromString(TokenLine.serializer(), text)
            } catch (_: SerializationException) {
                null
            }

        private fun garbage() {
            if (isDone) return
            isDone = true
            call?.cancel()
            listener.onFailure(AttemptFailure.GARBAGE)
        }
    }

    companion object {
        private const val OK = 200
        private const val MAX_LINE_BYTES = 64 * 1024

        /** Room for the fields beside the prompt, so that the buffer of a plain prompt does not grow. */
        private const val HEAD_BYTES = 1_024
        private const val CANCEL_TIMEOUT_MS = 2_000L
        private val json = Json { ignoreUnknownKeys = true }

        /** The request that the body of a refusal names, or null. */
        fun refusedRequest(text: String): String? =
            try {
                json.decodeFromString(RefusalBody.serializer(), text).requestId
            } catch (_: SerializationException) {
                null
            }

        /** Asks an engine to free what it holds for a request; an engine that does not answer is asked again by its ledger. */
        fun cancelAt(
            client: HttpClient,
            address: HostPort,
            requestId: RequestId,
            attempt: Int?,
        ) {
            val body = json.encodeToString(CancelBody.serializer(), CancelBody(requestId, attempt))
            client.call(ClientRequest(address, "POST", "/v1/cancel", body.encodeToByteArray()), CANCEL_TIMEOUT_MS) {}
        }
    }
}
