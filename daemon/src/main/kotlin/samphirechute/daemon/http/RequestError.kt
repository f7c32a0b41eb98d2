package samphirechute.daemon.http

import samphirechute.core.RunState
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ErrorBody
import samphirechute.core.api.ErrorDetail
import samphirechute.net.Exchange
import samphirechute.net.ServerRequest

/** The errors of the HTTP APIs, with the status, code and text that callers and operators see. */
sealed class RequestError(
    val status: Int,
    val code: String,
    val message: String,
    val runState: RunState = RunState.NOT_RUN,
    val retryAfterMs: Long? = null,
) {
    data class UnknownPath(
        val path: String,
    ) : RequestError(404, "unknown_path", "no such path: $path")

    data class WrongMethod(
        val accepted: String,
    ) : RequestError(405, "wrong_method", "this path accepts $accepted")

    data class Unauthorized(
        val role: String,
    ) : RequestError(401, "unauthorized", "this path needs 'Authorization: Bearer KEY' with the key of the $role role")

    data class InvalidBody(
        val problem: String,
    ) : RequestError(400, "invalid_body", problem)

    data class InvalidHeader(
        val name: String,
        val accepted: String,
    ) : RequestError(400, "invalid_header", "header $name must be $accepted")

    data class UnknownService(
        val name: String,
    ) : RequestError(404, "unknown_service", "no service '$name' is in force; name one in X-Service or 'model'")

    data class WrongTarget(
        val name: String,
        val accepted: String,
    ) : RequestError(400, "wrong_target", "service '$name' is called by $accepted")

    data class WrongTeam(
        val name: String,
    ) : RequestError(403, "wrong_team", "service '$name' belongs to another team than X-Team says")

    data object MissingRequestId :
        RequestError(400, "missing_request_id", "this request may run only once and needs an Idempotency-Key header")

    data class NotReady(
        val reason: String,
    ) : RequestError(503, "not_ready", "this instance takes no requests: $reason", retryAfterMs = NOT_READY_RETRY_MS)

    /** The store did not confirm an operator's change. With [mayBeCommitted] the change may still take effect. */
    data class Undecided(
        val mayBeCommitted: Boolean,
    ) : RequestError(
            503,
            "undecided",
            "no quorum of the store answered" + if (mayBeCommitted) "; the change may take effect later" else "",
            if (mayBeCommitted) RunState.UNKNOWN else RunState.NOT_RUN,
            retryAfterMs = NOT_READY_RETRY_MS,
        )

    data class UnknownDocument(
        val id: String,
    ) : RequestError(404, "unknown_document", "no document '$id' is known; answers are kept for 24 h")

    data class DocumentRejected(
        val reason: String,
        val problem: String,
    ) : RequestError(422, reason, problem)

    data class DocumentFailed(
        val id: String,
        val reason: String,
    ) : RequestError(502, reason, "document '$id' ended without an answer", RunState.UNKNOWN)

    data class Unavailable(
        val problem: String,
    ) : RequestError(503, "unavailable", problem, retryAfterMs = NOT_READY_RETRY_MS)

    /** A request that passed the filters, but was then refused or did not get a complete answer. */
    data class Ended(
        val endedStatus: Int,
        val endedCode: String,
        val endedMessage: String,
        val endedState: RunState,
        val endedRetryAfterMs: Long?,
    ) : RequestError(endedStatus, endedCode, endedMessage, endedState, endedRetryAfterMs)

    fun toBody() = ErrorBody(ErrorDetail(code, message, runState, retryAfterMs))

    private companion object {
        const val NOT_READY_RETRY_MS = 1_000L
    }
}

private const val MS_PER_SECOND = 1_000L

/** Answers with an error; Retry-After is in whole seconds, rounded up, as the HTTP standard requires. */
internal fun Exchange.refuse(error: RequestError) {
    val retryAfter = error.retryAfterMs?.let { mapOf("Retry-After" to "${(it + MS_PER_SECOND - 1) / MS_PER_SECOND}") }
    respondJson(error.status, ApiJson.encodeToString(ErrorBody.serializer(), error.toBody()), retryAfter.orEmpty())
}

internal fun Exchange.respondJson(
    status: Int,
    json: String,
    headers: Map<String, String> = emptyMap(),
) = respond(status, "application/json", json.encodeToByteArray(), headers)

internal fun ServerRequest.text(): String = body.decodeToString()
