package samphirechute.daemon.caller

import samphirechute.core.RequestId
import samphirechute.core.service.ServiceSpec
import samphirechute.net.ServerRequest
import samphirechute.routing.PromptPrefix

/** What the filters have determined about a request so far. Each filter returns a copy with its own fields set. */
internal data class RequestDraft(
    val source: ServerRequest,
    val form: AnswerFormat = AnswerFormat.PassThrough,
    val serviceName: String = "",
    val spec: ServiceSpec? = null,
    val path: String = "",
    val uri: String = "",
    val prompt: String = "",
    val maxTokens: Long = 0,
    val promptTokens: Long = 0,
    val prefixes: List<PromptPrefix> = emptyList(),
    val requestId: RequestId = RequestId(""),
    val isNonRepeatable: Boolean = false,
    val deadlineMs: Long = 0,
) {
    /** The service; available once [ServiceFilter] has run. */
    val service: ServiceSpec get() = checkNotNull(spec) { "the service filter has not run" }
}
